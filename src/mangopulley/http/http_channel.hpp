#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "../loop/event_loop.hpp"
#include "../loop/stream.hpp"
#include "body_part.hpp"
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
    /*! @brief Response; its body is the beginning only when `body_follows`. */
    http_response response{};
    /*! @brief Whether the rest of the body is to be read with `http_channel::read_body`. */
    bool body_follows{};
};

/*! @brief Request to send on a channel. */
struct outgoing_request {
    /*! @brief Request line and header fields with the empty line. */
    std::string_view head{};
    /*! @brief Body with its framing, or the beginning of it when `body_follows`. */
    std::string_view body{};
    /*! @brief Whether the rest of the body is sent with `http_channel::send_body`. */
    bool body_follows{};
    /*! @brief Whether the response has no body whatever its headers say, as for HEAD. */
    bool bodiless{};
    /*! @brief Longest response body in bytes that is received whole; a longer one is passed on in parts. */
    std::size_t longest_held_response{std::numeric_limits<std::size_t>::max()};
    /*! @brief Id that the responses to the request bear; empty when they bear none. */
    std::string_view id{};
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

    /**
     * @brief Sends a request whose body, and whose response, may be passed on in parts.
     * @param request Request; its bytes are copied as far as the connection does not accept them at once.
     * @param filter Accepts the response; empty to accept any.
     * @param done Called once, never before this call returns, when the response has arrived or its body is longer than
     * what is held; the channel may be destroyed inside it.
     */
    void send(const outgoing_request& request, response_filter filter, completion done);
    /**
     * @brief Sends the next part of the request's body.
     * @param bytes Bytes with their framing.
     * @param last Whether the body ends with them.
     */
    void send_body(std::string_view bytes, bool last);
    /*! @brief Sets the function called when the operating system has accepted all bytes sent so far. */
    void on_sent(std::function<void()> listener);
    /*! @brief Returns whether all bytes sent so far were accepted by the operating system. */
    [[nodiscard]] bool all_sent() const noexcept;
    /*! @brief Returns whether the whole request was passed to `send` and `send_body`. */
    [[nodiscard]] bool request_complete() const noexcept;

    /**
     * @brief Reads the next part of a response's body after `exchange_outcome::body_follows`.
     * @param reader Called once, possibly before this call returns; the channel may be destroyed inside it.
     */
    void read_body(body_reader reader);

    /*! @brief Tells whether an exchange can start: open or not yet opened, and not used by another. */
    [[nodiscard]] bool available() const noexcept;
    /*! @brief Tells whether the connection was opened before. */
    [[nodiscard]] bool opened() const noexcept;
    /*! @brief Tells whether a request with this id was sent before. A late response to it would be taken for the
     * response to another one with the same id. */
    [[nodiscard]] bool has_carried(std::string_view id) const;
    /*! @brief Returns when the last exchange ended. */
    [[nodiscard]] time_point idle_since() const noexcept;
    /*! @brief Returns how long the peer keeps the connection open when idle, if it said so. */
    [[nodiscard]] std::optional<duration> peer_idle_limit() const noexcept;

private:
    struct implementation;
    std::shared_ptr<implementation> self;
};

} // namespace mangopulley
