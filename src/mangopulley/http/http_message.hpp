#pragma once

#include <cstddef>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <Poco/Net/HTTPRequest.h>

#include "../core/fwd.hpp"

namespace mangopulley {

/*! @brief Request as received from a caller or an operator. */
struct http_request {
    Poco::Net::HTTPRequest head{};
    /*! @brief Body, or its beginning where the rest is read in parts. */
    std::string body{};
    /*! @brief When the first byte arrived. */
    time_point received{};
    /*! @brief Part of the target before the question mark. */
    std::string path{};
    /*! @brief Part of the target after the question mark. */
    std::string query{};

    /*! @brief Returns whether the response has no body whatever its headers say. */
    [[nodiscard]] bool is_head() const;
    /*! @brief Returns a header, or nothing when it is absent. */
    [[nodiscard]] std::optional<std::string> header(const std::string& name) const;
    /*! @brief Returns the decoded value of a query parameter, or nothing when it is absent. */
    [[nodiscard]] std::optional<std::string> parameter(std::string_view name) const;
};

/*! @brief Reply to a request. */
struct http_reply {
    struct header {
        std::string name;
        std::string value;
    };

    int status{200};
    std::string content_type{"application/json"};
    std::string body{};
    std::vector<header> headers{};
};

/*! @brief Makes a reply of plain text. */
[[nodiscard]] inline http_reply text_reply(const int status, std::string text) {
    http_reply reply{};
    reply.status = status;
    reply.content_type = "text/plain";
    reply.body = std::move(text);
    return reply;
}

/*! @brief Bounds of what one connection may cost. */
struct http_limits {
    std::size_t longest_head{16'384U};
    std::size_t longest_target{4'096U};
    std::size_t longest_body{1'048'576U};
    std::size_t most_headers{100U};
    /*! @brief Whether bodies may come in chunks, and requests without a length count as having no body. */
    bool accept_chunked{};
    /*! @brief Longest body that is received whole before the request is handled; longer ones are handled in parts. */
    std::size_t longest_held_body{std::numeric_limits<std::size_t>::max()};
    std::size_t most_connections{4'000U};
    /*! @brief Longest time from the first byte of a request to its last; a body held whole has more, by its size. */
    milliseconds longest_receive{5'000};
    /*! @brief Longest time that a connection may stay idle between two requests. */
    milliseconds longest_idle{60'000};
    /*! @brief Longest time for sending a reply. */
    milliseconds longest_send{5'000};
};

} // namespace mangopulley
