#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "../core/error.hpp"
#include "../core/fwd.hpp"
#include "../http/http_message.hpp"

namespace mangopulley {

/*! @brief What a caller states about a request in headers. */
struct request_headers {
    /*! @brief Time left for the answer; nothing when the kind's default applies. */
    std::optional<milliseconds> timeout{};
    /*! @brief Position of the call in its chain; the first call has depth 0. */
    std::uint32_t depth{};
    /*! @brief Retries that the whole chain may still spend. */
    std::uint32_t retry_budget{};
    std::string idempotency_key{};
    /*! @brief Whether the caller states that it never sent this key before. */
    bool first_attempt{};
    std::string traceparent{};
    std::string content_type{};
};

/*! @brief Retries of a call chain whose first caller states none. */
inline constexpr std::uint32_t default_retry_budget = 3U;
/*! @brief Longest chain of calls; 20 by the users' plan. */
inline constexpr std::uint32_t deepest_call = 20U;

/**
 * @brief Reads and checks the headers of a caller's request.
 * @param request Request.
 * @return The values, or `input_error` naming the header, the value found and the range allowed.
 */
[[nodiscard]] result<request_headers> read_request_headers(const http_request& request);

} // namespace mangopulley
