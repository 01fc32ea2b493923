#include "request_headers.hpp"

#include <utility>

#include "../core/whole_number.hpp"

namespace mangopulley {

namespace internal {

constexpr std::uint32_t longest_timeout_ms = 60'000U;
constexpr std::uint32_t most_retries = 100U;
constexpr std::size_t longest_key = 255U;
constexpr std::size_t longest_traceparent = 128U;

[[nodiscard]] boost::leaf::error_id reject(const std::string& header, std::string found, std::string expected) {
    return boost::leaf::new_error(input_error{"request", 0U, header, std::move(found), std::move(expected)});
}

/*! @brief Reads a decimal number within bounds; `fallback` when the header is absent. */
[[nodiscard]] result<std::uint32_t> read_number(const http_request& request, const std::string& header,
                                                const std::uint32_t least, const std::uint32_t most,
                                                const std::uint32_t fallback) {
    const auto text = request.header(header);
    if (!text) {
        return fallback;
    }
    const auto value = parse_whole<std::uint32_t>(*text);
    if (!value || *value < least || *value > most) {
        return reject(header, *text, "a number from " + std::to_string(least) + " to " + std::to_string(most));
    }
    return *value;
}

[[nodiscard]] bool is_trace_text(const std::string& text) noexcept {
    return text.size() <= longest_traceparent && text.find_first_not_of("0123456789abcdef-") == std::string::npos;
}

} // namespace internal

result<request_headers> read_request_headers(const http_request& request) {
    request_headers headers{};
    BOOST_LEAF_AUTO(timeout,
                    internal::read_number(request, "Mangopulley-Timeout-Ms", 1U, internal::longest_timeout_ms, 0U));
    if (timeout > 0U) {
        headers.timeout = milliseconds{timeout};
    }
    BOOST_LEAF_ASSIGN(headers.depth, internal::read_number(request, "Mangopulley-Depth", 0U, deepest_call, 0U));
    BOOST_LEAF_ASSIGN(headers.retry_budget, internal::read_number(request, "Mangopulley-Retry-Budget", 0U,
                                                                  internal::most_retries, default_retry_budget));
    BOOST_LEAF_AUTO(attempt, internal::read_number(request, "Mangopulley-Attempt", 1U, 1'000'000U, 0U));
    headers.first_attempt = attempt == 1U;
    headers.idempotency_key = request.header("Idempotency-Key").value_or("");
    if (headers.idempotency_key.size() > internal::longest_key) {
        return internal::reject("Idempotency-Key", std::to_string(headers.idempotency_key.size()) + " characters",
                                "at most " + std::to_string(internal::longest_key) + " characters");
    }
    headers.traceparent = request.header("traceparent").value_or("");
    if (!internal::is_trace_text(headers.traceparent)) {
        return internal::reject("traceparent", headers.traceparent, "lower-case hexadecimal fields joined by '-'");
    }
    headers.content_type = request.header("Content-Type").value_or("application/octet-stream");
    return headers;
}

} // namespace mangopulley
