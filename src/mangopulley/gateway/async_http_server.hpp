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
 * The requests of a connection are answered in the order in which they arrived. They run one at a time, except for
 * those that may overlap. A caller that closes its side counts as disconnected.
 */
class async_http_server {
public:
    using handler = std::function<void(const std::shared_ptr<http_server_exchange>& exchange)>;
    using request_filter = std::function<bool(const http_request& request)>;
    using rejection_listener = std::function<void(const request_rejection& rejection)>;

    /**
     * @brief Starts to listen; tries again while the address is not available.
     * @param loop Loop, which must outlive the server.
     * @param address Address as `ip:port`.
     * @param memory Memory for request bodies, and for responses that wait for others; must outlive the server and all
     * exchanges. Requests are rejected while it has no room.
     * @param limits Returns the limits in force; each request is held to those at its arrival.
     * @param on_request Called with each request that is complete or whose body is too long to be held.
     * @param may_overlap Returns whether a request without a body may run at the same time as others of its connection
     * for which it returned true; must not change anything. If it is empty, none may.
     */
    async_http_server(event_loop& loop, const std::string& address, memory_budget& memory,
                      std::function<http_limits()> limits, handler on_request, request_filter may_overlap = {});
    async_http_server(const async_http_server&) = delete;
    async_http_server& operator=(const async_http_server&) = delete;
    ~async_http_server();

    /*! @brief Sets the listener called for each request that is malformed, too large, too slow or without memory. */
    void on_rejection(rejection_listener listener);
    /*! @brief Closes each connection after its next response, or after those to all requests already handed over. */
    void close_after_responses() noexcept;
    /*! @brief Closes the connections without a request in progress or unsent bytes. */
    void close_idle();
    /*! @brief Closes connections that exceeded an idle, receive or send timeout; called about ten times per second. */
    void expire();

    [[nodiscard]] std::size_t connections() const noexcept;
    /*! @brief Returns the number of connections with a request in progress or unsent bytes. */
    [[nodiscard]] std::size_t busy() const noexcept;
    /*! @brief Returns the number of requests that were handed over beside an earlier one of their connection. */
    [[nodiscard]] std::uint64_t overlapping_requests() const noexcept;
    [[nodiscard]] std::uint16_t port() const;
    /*! @brief Returns why the server accepts no connections now; nothing while it does. */
    [[nodiscard]] std::optional<port_error> port_failure() const;

private:
    struct implementation;
    std::shared_ptr<implementation> self;
};

} // namespace mangopulley
