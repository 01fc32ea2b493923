#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "../loop/event_loop.hpp"
#include "../observe/decision_log.hpp"
#include "../observe/metrics.hpp"
#include "async_http_server.hpp"
#include "channel_pool.hpp"

namespace mangopulley::internal {

/*! @brief Response whose body is too long to be held and is passed to the caller while it arrives. */
struct relayed_response {
    std::shared_ptr<http_server_exchange> exchange{};
    /*! @brief Connection to the target, which the rest of the body is read from. */
    std::unique_ptr<http_channel> channel{};
    /*! @brief Response with the beginning of its body. */
    http_response response{};
    std::string request_id{};
    std::string target_id{};
    /*! @brief Target as `ip:port`. */
    std::string endpoint{};
    /*! @brief Time after which the caller no longer waits for the rest. */
    time_point deadline{};
};

/**
 * @brief Responses that are passed on in parts.
 *
 * A part is read from the target only when the caller's connection has accepted the previous one. A body that the
 * target breaks off, or that is not complete at the deadline, ends with a reset of the caller's connection, so that it
 * cannot look complete.
 */
class response_relays {
public:
    /*! @brief Dependencies; all must outlive this object. */
    struct dependencies {
        event_loop& loop;
        channel_pool& channels;
        metrics& metric_sink;
        decision_log& log;
    };

    explicit response_relays(const dependencies& deps);
    response_relays(const response_relays&) = delete;
    response_relays& operator=(const response_relays&) = delete;
    ~response_relays();

    /*! @brief Sends the beginning of a response and takes over the rest. */
    void add(relayed_response&& response);
    /*! @brief Moves later deadlines to this time, at which the process is about to end. */
    void end_by(time_point last_response);
    /*! @brief Returns the number of responses that are not complete yet. */
    [[nodiscard]] std::size_t size() const noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley::internal
