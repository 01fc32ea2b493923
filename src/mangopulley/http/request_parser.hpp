#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "../core/fwd.hpp"
#include "body_decoder.hpp"
#include "http_message.hpp"

namespace mangopulley {

/**
 * @brief Collects the bytes of one connection into requests, so that slow callers hold no thread.
 *
 * A request may be taken out as soon as its head is complete; the rest of its body then follows in parts.
 */
class request_parser {
public:
    /*! @brief What the bytes received so far amount to. */
    enum class state { incomplete, complete, rejected };

    /*! @brief Prepares a parser with the given bounds. */
    explicit request_parser(const http_limits& limits) noexcept : bounds{limits} {}

    /*! @brief Replaces the bounds, for the next head that is examined. */
    void apply(const http_limits& limits) noexcept { this->bounds = limits; }

    /**
     * @brief Adds received bytes.
     * @param bytes Bytes in the order in which they arrived.
     */
    void append(std::string_view bytes) { this->buffer.append(bytes); }

    /*! @brief Tells whether the buffered bytes hold a whole request, part of one, or something that is none. */
    [[nodiscard]] state examine();

    /*! @brief Returns whether the head is complete and the request was not taken out yet. */
    [[nodiscard]] bool head_complete() const noexcept { return this->head_done && !this->head_taken; }
    /*! @brief Returns the head; valid while `head_complete`. */
    [[nodiscard]] const http_request& head() const noexcept { return this->request; }
    /*! @brief Returns the announced length of the body in bytes, or nothing when it comes in chunks. */
    [[nodiscard]] std::optional<std::size_t> body_length() const noexcept { return this->length; }
    /*! @brief Returns the number of decoded bytes of the body that were not taken out yet. */
    [[nodiscard]] std::size_t body_bytes() const noexcept { return this->request.body.size(); }

    /**
     * @brief Takes the request out once its head is complete; bytes of the next one stay.
     * @return Request with the part of its body that `examine` has decoded; the rest is taken with `take_body`.
     */
    [[nodiscard]] http_request take();

    /*! @brief Takes out what `examine` decoded of the body since `take`; ends the request if the body is complete. */
    [[nodiscard]] std::string take_body();

    /*! @brief Returns the status for a rejected request, a 4xx. */
    [[nodiscard]] int rejection_status() const noexcept { return this->status; }
    /*! @brief Returns why the request was rejected. */
    [[nodiscard]] std::string_view rejection_reason() const noexcept { return this->reason; }
    /*! @brief Tells whether part of a request has arrived. */
    [[nodiscard]] bool started() const noexcept { return this->head_done || !this->buffer.empty(); }
    /*! @brief Returns the number of received bytes that were not examined, or belong to the next request. */
    [[nodiscard]] std::size_t buffered_bytes() const noexcept { return this->buffer.size(); }
    /*! @brief Tells, once, whether the caller waits for leave to send the body. */
    [[nodiscard]] bool take_continue_expected() noexcept;

private:
    [[nodiscard]] state reject(int code, std::string_view why) noexcept;
    /*! @brief Drops one empty line before a request line; some callers send one after a body (RFC 9112, section 2.2).
     */
    void skip_empty_line();
    /*! @brief Parses a complete head. Poco's reader has limits of its own and decodes encoded words in values. */
    [[nodiscard]] bool parse_head(std::string_view head);
    [[nodiscard]] bool parse_request_line(std::string_view line);
    [[nodiscard]] bool parse_field(std::string_view line);
    [[nodiscard]] bool read_framing();
    /*! @brief Chooses chunked framing, which only some servers accept. */
    [[nodiscard]] bool begin_chunks();
    [[nodiscard]] state examine_body();
    void begin_next() noexcept;

    http_limits bounds;
    std::string buffer{};
    http_request request{};
    std::optional<std::size_t> length{};
    /*! @brief Decodes the body; the encoded bytes are dropped from the buffer as they are taken. */
    body_decoder body{};
    bool empty_line_skipped{};
    bool head_done{};
    bool head_taken{};
    bool body_done{};
    bool continue_expected{};
    int status{};
    std::string_view reason{};
};

} // namespace mangopulley
