#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "../core/error.hpp"
#include "event_loop.hpp"

namespace mangopulley {

/*! @brief Sends and receives UDP datagrams on an event loop; datagrams may be lost. */
class datagram_port {
public:
    using received_callback = std::function<void(std::string_view sender_ip, std::string_view bytes)>;

    /**
     * @brief Binds a UDP socket; tries again while the address is not available.
     * @param loop Event loop; must outlive the port.
     * @param address Local address as `ip:port`.
     * @param action Called on the loop's thread with each received datagram.
     */
    datagram_port(event_loop& loop, const std::string& address, received_callback action);
    datagram_port(const datagram_port&) = delete;
    datagram_port& operator=(const datagram_port&) = delete;
    ~datagram_port();

    /*! @brief Returns why the address is not bound; nothing once it is. */
    [[nodiscard]] const std::optional<port_error>& failure() const noexcept;
    /*! @brief Sends a datagram to `ip:port`; a datagram that cannot be sent immediately is dropped. */
    void send(const std::string& endpoint, std::string_view bytes) noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
