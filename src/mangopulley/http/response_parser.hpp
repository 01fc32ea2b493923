#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include <Poco/Net/HTTPResponse.h>

#include "body_decoder.hpp"
#include "fwd.hpp"

namespace mangopulley {

/*! @brief Response as received from a target or the platform. */
struct http_response {
    Poco::Net::HTTPResponse head{};
    std::string body{};
    /*! @brief Whether the sender keeps the connection open. */
    bool keep_alive{};

    [[nodiscard]] int status() const { return static_cast<int>(this->head.getStatus()); }
};

/**
 * @brief Collects the bytes of one connection into responses; interim responses are dropped.
 *
 * A response may be taken out as soon as its head is complete; the rest of its body then follows in parts.
 */
class response_parser {
public:
    enum class state : unsigned char { incomplete, complete, malformed };

    /*! @brief Prepares a parser that accepts bodies up to the given length in bytes. */
    explicit response_parser(std::size_t longest_body) noexcept : longest{longest_body} {}

    /*! @brief States whether the next response answers a HEAD request, which has no body whatever its headers say. */
    void expect_no_body(bool none) noexcept { this->bodiless = none; }

    /*! @brief Adds received bytes. */
    void append(std::string_view bytes) { this->buffer.append(bytes); }
    /*! @brief Tells whether the bytes hold a whole response, part of one, or something that is none. */
    [[nodiscard]] state examine();
    /*! @brief Tells the same after the peer closed; only a body that ends with its connection is completed by that. */
    [[nodiscard]] state finish(bool broken);
    /*! @brief Returns whether the head is complete and the response was not taken out yet. */
    [[nodiscard]] bool head_complete() const noexcept { return this->head_done && !this->head_taken; }
    /*! @brief Returns the response as far as it has arrived; valid while `head_complete`. */
    [[nodiscard]] const http_response& partial() const noexcept { return this->response; }
    /*! @brief Returns the number of decoded bytes of the body that were not taken out yet. */
    [[nodiscard]] std::size_t body_bytes() const noexcept { return this->response.body.size(); }
    /**
     * @brief Takes the response out once its head is complete; bytes behind it stay.
     * @return Response with the part of its body that has arrived; the rest is taken with `take_body`.
     */
    [[nodiscard]] http_response take();
    /*! @brief Takes out what arrived of the body since `take`; ends the response if the body is complete. */
    [[nodiscard]] std::string take_body();
    /*! @brief Tells whether bytes of a response have arrived. */
    [[nodiscard]] bool started() const noexcept { return this->head_done || !this->buffer.empty(); }

private:
    [[nodiscard]] state read_head();
    [[nodiscard]] bool parse_head(std::string_view head);
    [[nodiscard]] bool parse_status_line(std::string_view line);
    [[nodiscard]] bool choose_framing();
    [[nodiscard]] state examine_head();
    [[nodiscard]] state examine_body();
    void begin_next() noexcept;

    std::size_t longest;
    std::string buffer{};
    http_response response{};
    body_decoder body{};
    bool bodiless{};
    /*! @brief Interim responses before the response. */
    std::size_t interim{};
    bool head_done{};
    bool head_taken{};
    bool body_done{};
    bool failed{};
};

} // namespace mangopulley
