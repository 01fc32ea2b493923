#pragma once

#include <string>
#include <string_view>

#include "../http/body_part.hpp"
#include "../http/http_message.hpp"
#include "../http/response_parser.hpp"
#include "dialect.hpp"

namespace mangopulley {

/*! @brief What the gateway sets in the head of a forwarded request. */
struct forwarding_fields {
    /*! @brief Only target that may execute the request. */
    const listed_target& target;
    /*! @brief Time until the deadline, after which a response is of no use. */
    duration time_left{};
    /*! @brief Name of the caller's team; empty if it has none. */
    std::string_view team{};
    /*! @brief Whether the caller's credentials are forwarded; never where they are the gateway's own API keys. */
    bool forwards_credentials{true};
};

/**
 * @brief Serializes the head of a caller's request for a target.
 *
 * Method, request target and end-to-end fields stay unchanged; hop-by-hop fields are removed. A body that is held whole
 * is sent with its length, any other one framed as the caller did.
 *
 * @param request Request.
 * @param body_held Whether the request holds its whole body.
 * @param wire_dialect Writes the fields that the gateway sets.
 * @param fields Values of the fields that the gateway sets, and what it leaves out.
 */
[[nodiscard]] std::string forwarded_request_head(const http_request& request, bool body_held,
                                                 const dialect& wire_dialect, const forwarding_fields& fields);

/*! @brief Frames a part of a body that is not held whole, as `forwarded_request_head` announces it. */
[[nodiscard]] std::string forwarded_body_part(const http_request& request, body_part&& part);

/*! @brief Serializes the head of a target's response, without hop-by-hop fields; framing stays only if bodiless. */
[[nodiscard]] std::string forwarded_response_head(const http_response& response, bool bodiless);

/*! @brief Serializes a health check request. */
[[nodiscard]] std::string health_request(std::string_view path, std::string_view endpoint);

} // namespace mangopulley
