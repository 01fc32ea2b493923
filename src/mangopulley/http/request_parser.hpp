#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "../core/fwd.hpp"
#include "body_decoder.hpp"
#include "http_message.hpp"

namespace mangopulley {

/*! @brief Collects the bytes of one connection into whole requests, so that slow callers hold no thread. */
class request_parser {
public:
    /*! @brief What the bytes received so far amount to. */
    enum class state { incomplete, complete, rejected };

    /*! @brief Prepares a parser with the given bounds. */
    explicit request_parser(const http_limits& limits) noexcept : bounds{limits} {}

    /**
     * @brief Adds received bytes.
     * @param bytes Bytes in the order in which they arrived.
     */
    void append(std::string_view bytes) { this->buffer.append(bytes); }

    /*! @brief Tells whether the buffered bytes hold a whole request, part of one, or something that is none. */
    [[nodiscard]] state examine();

    /*! @brief Takes the request out after `examine` returned `complete`; bytes of the next one stay. */
    [[nodiscard]] http_request take();

    /*! @brief Returns the status for a rejected request, a 4xx. */
    [[nodiscard]] int rejection_status() const noexcept { return this->status; }
    /*! @brief Returns why the request was rejected. */
    [[nodiscard]] std::string_view rejection_reason() const noexcept { return this->reason; }
    /*! @brief Tells whether part of a request has arrived. */
    [[nodiscard]] bool started() const noexcept { return !this->buffer.empty(); }
    /*! @brief Tells, once, whether the caller waits for leave to send the body. */
    [[nodiscard]] bool take_continue_expected() noexcept;

private:
    [[nodiscard]] state reject(int code, std::string_view why) noexcept;
    [[nodiscard]] bool head_is_well_formed(std::string_view head);
    [[nodiscard]] bool parse_head(std::string_view head);
    [[nodiscard]] bool read_framing();
    /*! @brief Chooses chunked framing, which only some servers accept. */
    [[nodiscard]] bool begin_chunks();
    [[nodiscard]] state examine_chunks();

    http_limits bounds;
    std::string buffer{};
    http_request request{};
    std::size_t head_size{};
    std::size_t body_size{};
    /*! @brief Decodes a chunked body; the encoded bytes are dropped from the buffer as they are taken. */
    body_decoder chunks{};
    bool chunked{};
    bool head_done{};
    bool continue_expected{};
    int status{};
    std::string_view reason{};
};

} // namespace mangopulley
