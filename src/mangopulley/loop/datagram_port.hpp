#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "event_loop.hpp"

namespace mangopulley {

/*! @brief Sends and receives UDP datagrams on an event loop; datagrams may be lost. */
class datagram_port {
public:
    using received_callback = std::function<void(std::string_view sender_ip, std::string_view bytes)>;

    /**
     * @brief Binds a UDP socket.
     * @param loop Event loop; must outlive the port.
     * @param address Local address as `ip:port`.
     * @param action Called on the loop's thread with each received datagram.
     * @throw Poco::Exception when the address is in use.
     */
    datagram_port(event_loop& loop, const std::string& address, received_callback action);
    datagram_port(const datagram_port&) = delete;
    datagram_port& operator=(const datagram_port&) = delete;
    ~datagram_port();

    /*! @brief Sends a datagram to `ip:port`; a datagram that cannot be sent immediately is dropped. */
    void send(const std::string& endpoint, std::string_view bytes) noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
