#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "../loop/event_loop.hpp"
#include "../loop/stream.hpp"
#include "fwd.hpp"
#include "response_parser.hpp"

namespace mangopulley {

/*! @brief How an exchange on a channel ended. */
struct exchange_outcome {
    /*! @brief Why there is no response. */
    std::optional<network_error_code> failure{};
    /*! @brief Whether any byte of the request may have reached the peer. */
    bool sent{};
    /*! @brief Whether the channel may carry another request. */
    bool reusable{};
    http_response response{};
};

/**
 * @brief HTTP/1.1 client connection on an event loop, with one exchange at a time and no reconnects or repeats.
 *
 * Destroying a channel closes the connection, which cancels the exchange at most targets.
 */
class http_channel {
public:
    using completion = std::function<void(exchange_outcome&& outcome)>;
    /*! @brief Tells whether a response answers the request; others are late answers to earlier requests. */
    using response_filter = std::function<bool(const http_response& response)>;

    /**
     * @brief Prepares a channel; the connection opens with the first `send`.
     * @param loop Loop, which must outlive the channel.
     * @param endpoint Peer as `ip:port`.
     * @param timing Detection of silent peers.
     * @param longest_body Longest response body in bytes.
     */
    http_channel(event_loop& loop, std::string endpoint, const stream_timing& timing, std::size_t longest_body);
    http_channel(const http_channel&) = delete;
    http_channel& operator=(const http_channel&) = delete;
    ~http_channel();

    /**
     * @brief Sends a request.
     * @param request Head and body.
     * @param bodiless Whether the response has no body whatever its headers say, as for HEAD.
     * @param filter Accepts the response; empty to accept any.
     * @param done Called once, never before this call returns; the channel may be destroyed inside it.
     */
    void send(std::string_view request, bool bodiless, response_filter filter, completion done);

    /*! @brief Tells whether an exchange can start: open or not yet opened, and not used by another. */
    [[nodiscard]] bool available() const noexcept;
    /*! @brief Tells whether the connection was opened before. */
    [[nodiscard]] bool opened() const noexcept;
    /*! @brief Returns when the last exchange ended. */
    [[nodiscard]] time_point idle_since() const noexcept;
    /*! @brief Returns how long the peer keeps the connection open when idle, if it said so. */
    [[nodiscard]] std::optional<duration> peer_idle_limit() const noexcept;

private:
    struct implementation;
    std::shared_ptr<implementation> self;
};

} // namespace mangopulley
