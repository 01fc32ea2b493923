#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include <Poco/Net/HTTPResponse.h>

#include "body_decoder.hpp"
#include "fwd.hpp"

namespace mangopulley {

/*! @brief Whole response as received from a target or the platform. */
struct http_response {
    Poco::Net::HTTPResponse head{};
    std::string body{};
    /*! @brief Whether the sender keeps the connection open. */
    bool keep_alive{};

    [[nodiscard]] int status() const { return static_cast<int>(this->head.getStatus()); }
};

/*! @brief Collects the bytes of one connection into whole responses; interim responses are dropped. */
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
    /*! @brief Takes the response out after `complete`; bytes behind it stay. */
    [[nodiscard]] http_response take();
    /*! @brief Tells whether bytes of a response have arrived. */
    [[nodiscard]] bool started() const noexcept { return this->head_done || !this->buffer.empty(); }

private:
    [[nodiscard]] state read_head();
    [[nodiscard]] bool choose_framing();

    std::size_t longest;
    std::string buffer{};
    http_response response{};
    body_decoder body{};
    bool bodiless{};
    bool head_done{};
    bool failed{};
};

} // namespace mangopulley
