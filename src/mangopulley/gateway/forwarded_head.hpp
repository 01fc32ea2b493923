#pragma once

#include <string>
#include <string_view>

#include "../http/http_message.hpp"
#include "../http/response_parser.hpp"
#include "dialect.hpp"

namespace mangopulley {

/**
 * @brief Writes a caller's request for a target: method, target and fields unchanged but for those of one connection.
 * @param request Request.
 * @param speech Fields that the gateway sets.
 * @param target Target that alone may run the request.
 * @param time_left Time after which an answer is of no use.
 * @return Head and body.
 */
[[nodiscard]] std::string forwarded_request(const http_request& request, const dialect& speech,
                                            const listed_target& target, duration time_left);

/*! @brief Writes status line and fields of a target's response, without those of one connection or its framing. */
[[nodiscard]] std::string forwarded_response_head(const http_response& response, bool bodiless);

/*! @brief Writes the request for a target's health. */
[[nodiscard]] std::string health_request(std::string_view path, std::string_view endpoint);

/*! @brief Tells whether the response to a request has no body whatever its fields say. */
[[nodiscard]] bool is_bodiless(const http_request& request);

} // namespace mangopulley
