#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "../core/error.hpp"
#include "../http/http_message.hpp"
#include "../http/memory_budget.hpp"
#include "../loop/event_loop.hpp"
#include "http_server_exchange.hpp"
#include "request_rejection.hpp"

namespace mangopulley {

/**
 * @brief HTTP/1.1 server on an event loop.
 *
 * The requests of a connection are processed one at a time and in order. A caller that closes its side counts as
 * disconnected.
 */
class async_http_server {
public:
    using handler = std::function<void(const std::shared_ptr<http_server_exchange>& exchange)>;
    using rejection_listener = std::function<void(const request_rejection& rejection)>;

    /**
     * @brief Starts to listen; tries again while the address is not available.
     * @param loop Loop, which must outlive the server.
     * @param address Address as `ip:port`.
     * @param memory Memory for request bodies; must outlive the server and all exchanges. Requests are rejected while
     * it has no room.
     * @param limits Returns the limits in force; each request is held to those at its arrival.
     * @param on_request Called with each request that is complete or whose body is too long to be held.
     */
    async_http_server(event_loop& loop, const std::string& address, memory_budget& memory,
                      std::function<http_limits()> limits, handler on_request);
    async_http_server(const async_http_server&) = delete;
    async_http_server& operator=(const async_http_server&) = delete;
    ~async_http_server();

    /*! @brief Sets the listener called for each request that is malformed, too large, too slow or without memory. */
    void on_rejection(rejection_listener listener);
    /*! @brief Closes each connection after its next response. */
    void close_after_responses() noexcept;
    /*! @brief Closes the connections without a request in progress or unsent bytes. */
    void close_idle();
    /*! @brief Closes connections that exceeded an idle, receive or send timeout; called about ten times per second. */
    void expire();

    [[nodiscard]] std::size_t connections() const noexcept;
    /*! @brief Returns the number of connections with a request in progress or unsent bytes. */
    [[nodiscard]] std::size_t busy() const noexcept;
    [[nodiscard]] std::uint16_t port() const;
    /*! @brief Returns why the server accepts no connections now; nothing while it does. */
    [[nodiscard]] std::optional<port_error> port_failure() const;

private:
    struct implementation;
    std::shared_ptr<implementation> self;
};

} // namespace mangopulley
