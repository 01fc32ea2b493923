#include "own_answer.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "../http/field_names.hpp"
#include "transaction_log.hpp"

namespace mangopulley::internal {

namespace {

constexpr duration unknown_config_retry_after{std::chrono::milliseconds{300}};
constexpr duration longest_deadline{std::chrono::hours{1}};

} // namespace

std::optional<own_verdict> read_arrival(transaction& item, const dialect& speech, route_table& routes,
                                        route_times& times) {
    const auto& request = item.exchange->request();
    item.facts = speech.read_request(request);
    item.config = routes.current();
    item.arrived = request.received;
    item.deadline = request.received + item.facts.time_left.value_or(longest_deadline);
    if (item.config->revision == 0U) {
        item.retry_after = unknown_config_retry_after;
        return own_verdict{503, "no_config"};
    }
    const auto host = request.header(field_name::host);
    item.selected = host ? routes.find(*host, request.path) : nullptr;
    if (item.selected == nullptr) {
        return own_verdict{404, "no_route"};
    }
    if (item.facts.id.empty()) {
        return own_verdict{400, "no_request_id"};
    }
    item.deadline = std::min(item.deadline, item.arrived + item.selected->time_limit);
    item.goal = item.arrived + item.selected->latency_goal - times.spent_before(*item.selected, item.facts.time_left);
    item.service = std::string{routes.next_service(*item.selected)};
    return std::nullopt;
}

http_reply own_answer(const transaction& item, const own_verdict& verdict) {
    http_reply reply{};
    reply.status = verdict.status;
    reply.content_type = "application/problem+json";
    const nlohmann::json problem{{"status", verdict.status}, {"title", verdict.outcome}, {"request_id", item.facts.id}};
    reply.body = problem.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (verdict.status == 503) {
        const auto seconds = std::chrono::duration<double>(item.retry_after).count();
        reply.headers.push_back({field_name::retry_after, to_decimal(seconds)});
    }
    return reply;
}

bool promises_not_run(const int status) noexcept {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace mangopulley::internal
