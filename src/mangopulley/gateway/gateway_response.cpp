#include "gateway_response.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "../http/field_names.hpp"
#include "transaction_log.hpp"

namespace mangopulley::internal {

namespace {

constexpr duration missing_config_retry_after{std::chrono::milliseconds{300}};
constexpr duration max_deadline{std::chrono::hours{1}};

/*! @brief Sets the team of a caller with a known API key; returns whether the caller may use the route. */
[[nodiscard]] bool authenticate(transaction& transaction, const route_table& routes) {
    if (!transaction.config->teams.empty() && transaction.metadata.credential == credential_kind::api_key) {
        transaction.team = routes.find_team(transaction.metadata.key);
    }
    return may_use_route(*transaction.config, transaction.team, *transaction.matched_route);
}

} // namespace

std::optional<gateway_response> prepare_transaction(transaction& transaction, const dialect& wire_dialect,
                                                    route_table& routes, route_estimates& estimates) {
    const auto& request = transaction.exchange->request();
    transaction.metadata = wire_dialect.read_request(request);
    transaction.config = routes.current();
    transaction.arrived = request.received;
    transaction.deadline = request.received + transaction.metadata.time_left.value_or(max_deadline);
    if (!transaction.config->loaded()) {
        transaction.retry_after = missing_config_retry_after;
        return gateway_response{503, "no_config"};
    }
    const auto host = request.header(field_name::host);
    transaction.matched_route = host ? routes.find(*host, request.path) : nullptr;
    if (transaction.matched_route == nullptr) {
        return gateway_response{404, "no_route"};
    }
    if (!authenticate(transaction, routes)) {
        return gateway_response{401, "unauthorized"};
    }
    if (transaction.metadata.request_id.empty()) {
        return gateway_response{400, "no_request_id"};
    }
    transaction.deadline = std::min(transaction.deadline, transaction.arrived + transaction.matched_route->time_limit);
    transaction.latency_goal = transaction.arrived + transaction.matched_route->latency_goal -
                               estimates.spent_before(*transaction.matched_route, transaction.metadata.time_left);
    transaction.service = std::string{routes.next_service(*transaction.matched_route)};
    return std::nullopt;
}

bool may_use_route(const routing_config& config, const team_config* team, const route& selected) noexcept {
    return config.teams.empty() || team != nullptr || selected.is_public;
}

std::uint64_t queue_priority(const team_config* team, const route& selected) noexcept {
    constexpr unsigned route_priority_bits = 32U;
    const std::uint64_t team_priority = team == nullptr ? 0U : team->priority;
    return (team_priority << route_priority_bits) | selected.priority;
}

std::uint64_t queue_priority(const transaction& transaction) noexcept {
    return queue_priority(transaction.team, *transaction.matched_route);
}

http_reply make_reply(const transaction& transaction, const gateway_response& response) {
    http_reply reply{};
    reply.status = response.status;
    reply.content_type = "application/problem+json";
    const nlohmann::json problem{
        {"status", response.status}, {"title", response.outcome}, {"request_id", transaction.metadata.request_id}};
    reply.body = problem.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (response.status == 401) {
        reply.headers.push_back({field_name::www_authenticate, "Bearer"});
    }
    if (response.status == 429 || response.status == 503) {
        const auto seconds = std::chrono::duration<double>(transaction.retry_after).count();
        reply.headers.push_back({field_name::retry_after, to_decimal(seconds)});
    }
    return reply;
}

bool implies_not_executed(const int status) noexcept {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace mangopulley::internal
