#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "../core/error.hpp"
#include "../core/fwd.hpp"
#include "../wire/message.hpp"

namespace mangopulley {

/*! @brief Sends messages to other instances. */
class peer_transport {
public:
    peer_transport() = default;
    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;
    virtual ~peer_transport() = default;

    /**
     * @brief Sends a message and waits for the reply.
     * @param endpoint Peer as `ip:port`.
     * @param type Type of the message.
     * @param body Message fields in MessagePack.
     * @param timeout Maximum time for the whole call.
     * @return Reply fields in MessagePack, or `network_error` (`connect_failed` when nothing was sent).
     */
    [[nodiscard]] virtual result<std::string> call(std::string_view endpoint, message_type type, std::string_view body,
                                                   milliseconds timeout) = 0;
};

} // namespace mangopulley
