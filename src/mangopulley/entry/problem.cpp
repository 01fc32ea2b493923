#include "problem.hpp"

#include <chrono>

#include <nlohmann/json.hpp>

namespace mangopulley {

http_reply to_reply(const problem& cause) {
    nlohmann::json body{{"type", "urn:mangopulley:problem:" + cause.type},
                        {"title", cause.title},
                        {"status", cause.status},
                        {"outcome", cause.outcome},
                        {"request_id", cause.request_id}};
    if (!cause.detail.empty()) {
        body["detail"] = cause.detail;
    }
    if (!cause.limit.empty()) {
        body["limit"] = cause.limit;
    }
    if (!cause.order_token.empty()) {
        body["order_token"] = cause.order_token;
    }
    if (!cause.addresses.empty()) {
        body["addresses"] = cause.addresses;
    }
    http_reply reply{};
    reply.status = cause.status;
    reply.content_type = "application/problem+json";
    reply.headers.push_back({"Mangopulley-Outcome", cause.outcome});
    if (cause.retry_after) {
        // Retry-After counts whole seconds; the body has the exact time.
        body["retry_after_ms"] = cause.retry_after->count();
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(*cause.retry_after);
        reply.headers.push_back({"Retry-After", std::to_string(seconds.count())});
    }
    reply.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return reply;
}

} // namespace mangopulley
