#include "response_verdict.hpp"

#include "../http/field_names.hpp"

namespace mangopulley::internal {

namespace {

constexpr int misdirected_request_status = 421;
constexpr int service_unavailable_status = 503;
constexpr int first_client_error_status = 400;
constexpr int first_server_error_status = 500;

/*! @brief Returns whether a target may answer a request that it did not execute with this status. Any other one, such
 * as a success or 504, contradicts the claim. */
[[nodiscard]] bool may_state_refusal(const int status) noexcept {
    return status == service_unavailable_status ||
           (status >= first_client_error_status && status < first_server_error_status);
}

} // namespace

bool answers_request(const response_metadata& metadata, const std::string_view request_id, const bool reused) noexcept {
    return metadata.request_id == request_id || (metadata.request_id.empty() && !reused);
}

response_verdict verdict_of(const http_response& response, const response_metadata& metadata) {
    const int status = response.status();
    if (metadata.mixed) {
        return response_verdict::not_genuine;
    }
    if (status == misdirected_request_status) {
        return response_verdict::misdirected;
    }
    if (metadata.not_executed) {
        return may_state_refusal(status) ? response_verdict::refused : response_verdict::not_genuine;
    }
    if (!metadata.has_response_stamp || response.head.has(field_name::content_encoding)) {
        return response_verdict::not_genuine;
    }
    return status >= first_server_error_status ? response_verdict::failed : response_verdict::succeeded;
}

bool leaves_connection_usable(const response_verdict verdict, const bool reused) noexcept {
    return verdict != response_verdict::not_genuine && !(reused && verdict == response_verdict::misdirected);
}

} // namespace mangopulley::internal
