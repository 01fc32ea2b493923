#pragma once

#include <cstdint>
#include <string_view>

#include "dialect.hpp"

namespace mangopulley::internal {

/*! @brief What a target's response says about the execution of the request. */
enum class response_verdict : std::uint8_t {
    /*! @brief Another target has the address; the request was not executed. */
    misdirected,
    /*! @brief The target did not execute the request. */
    refused,
    /*! @brief No target made the response as it is, or it contradicts itself; the request may have been executed. */
    not_genuine,
    /*! @brief The target executed the request, or began to, and failed. */
    failed,
    /*! @brief The target executed the request. */
    succeeded
};

/**
 * @brief Returns whether a response belongs to a request.
 * @param metadata Metadata of the response.
 * @param request_id Id of the request.
 * @param reused Whether the connection carried an earlier exchange, so that a response without an id may be a late one
 * to a health probe.
 */
[[nodiscard]] bool answers_request(const response_metadata& metadata, std::string_view request_id,
                                   bool reused) noexcept;

/*! @brief Returns what a response that belongs to the request says about its execution. */
[[nodiscard]] response_verdict verdict_of(const http_response& response, const response_metadata& metadata);

/**
 * @brief Returns whether a connection may carry another request after a response.
 *
 * A kept connection may lead to a former process, while another one accepts at the address by now. After a response
 * that no target made as it is, nobody knows where the next one begins.
 *
 * @param verdict What the response says.
 * @param reused Whether the connection carried an earlier exchange.
 */
[[nodiscard]] bool leaves_connection_usable(response_verdict verdict, bool reused) noexcept;

} // namespace mangopulley::internal
