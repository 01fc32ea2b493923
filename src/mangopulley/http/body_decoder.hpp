#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "fwd.hpp"

namespace mangopulley {

/**
 * @brief Takes the body of one HTTP/1.1 message out of a stream of bytes (RFC 9112, sections 6 and 7).
 *
 * Chunk extensions and trailer fields are dropped; a body with too many bytes of them counts as malformed.
 */
class body_decoder {
public:
    /*! @brief How the end of the body is found. */
    enum class framing : std::uint8_t { none, length, chunked, until_close };
    enum class state : std::uint8_t { incomplete, complete, malformed, too_long };

    body_decoder() noexcept = default;

    /**
     * @brief Prepares for a body.
     * @param kind How the end is found.
     * @param length Length in bytes for `framing::length`.
     * @param most Longest body accepted in bytes.
     */
    body_decoder(framing kind, std::size_t length, std::size_t most) noexcept
        : form{kind}, remaining{length}, longest{most} {}

    /**
     * @brief Takes bytes of the body.
     * @param bytes Received bytes; those taken are removed from its front.
     * @param body Receives the decoded bytes; earlier ones may be taken out of it between two calls.
     * @return What the body amounts to now.
     */
    [[nodiscard]] state feed(std::string_view& bytes, std::string& body);

    /*! @brief Tells whether a regular close of the connection completes the body. */
    [[nodiscard]] bool ends_with_connection() const noexcept { return this->form == framing::until_close; }

private:
    enum class part : std::uint8_t { size, data, data_end, trailer, end };

    [[nodiscard]] state feed_chunks(std::string_view& bytes, std::string& body);
    [[nodiscard]] state read_size(std::string_view& bytes);
    [[nodiscard]] state read_data_end(std::string_view& bytes);
    [[nodiscard]] state read_trailer(std::string_view& bytes);
    [[nodiscard]] state take_data(std::string_view& bytes, std::string& body);
    /*! @brief Collects a line into `line`; complete when its end has arrived. */
    [[nodiscard]] state take_line(std::string_view& bytes);
    /*! @brief Counts bytes of a chunk extension or a trailer field; returns whether they stay within the limit. */
    [[nodiscard]] bool count_dropped(std::size_t bytes) noexcept;

    framing form{framing::none};
    std::size_t remaining{};
    std::size_t longest{};
    /*! @brief Number of decoded bytes of the whole body so far. */
    std::size_t decoded{};
    /*! @brief Number of bytes of chunk extensions and trailer fields so far. */
    std::size_t dropped{};
    part next{part::size};
    std::string line{};
};

} // namespace mangopulley
