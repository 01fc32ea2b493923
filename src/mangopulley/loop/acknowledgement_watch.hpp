#pragma once

#include <Poco/Net/StreamSocket.h>

#include "../core/clock.hpp"

namespace mangopulley::internal {

/**
 * @brief Tells a peer whose host acknowledges nothing from one that is alive and merely reads nothing.
 *
 * TCP_USER_TIMEOUT doesn't tell them apart: it also ends a connection whose peer answers that it has no room. While the
 * peer has no room, its host is only asked at the kernel's growing intervals, so that its loss is noticed later.
 */
class acknowledgement_watch {
public:
    /*! @brief State of the peer. */
    enum class state {
        /*! @brief Everything was acknowledged. */
        settled,
        /*! @brief Bytes wait for the peer, which acknowledged something in time. */
        waiting,
        /*! @brief What was sent has been unanswered for the longest time. */
        silent
    };

    /*! @brief Constructs a watch with the longest time without an answer. */
    explicit acknowledgement_watch(const duration longest) noexcept : longest_silence{longest} {}

    /*! @brief Begins when bytes are sent after everything was acknowledged. */
    void begin(const time_point now) noexcept { this->silent_since = now; }
    /*! @brief Looks at a connection; called several times within the longest time. */
    [[nodiscard]] state examine(const Poco::Net::StreamSocket& connection, time_point now);

private:
    duration longest_silence;
    time_point silent_since{};
};

} // namespace mangopulley::internal
