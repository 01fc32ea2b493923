#include "operator_service.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include <nlohmann/json.hpp>

#include "../http/memory_budget.hpp"
#include "async_http_server.hpp"
#include "evacuation_follower.hpp"
#include "fleet.hpp"
#include "forwarder.hpp"
#include "platform_client.hpp"
#include "platform_follower.hpp"
#include "team_quotas.hpp"

namespace mangopulley {

std::optional<explained_request> parse_question(const std::string_view body) {
    const auto content = nlohmann::json::parse(body, nullptr, false);
    if (!content.is_object()) {
        return std::nullopt;
    }
    const bool strings = std::all_of(content.begin(), content.end(), [](const auto& item) { return item.is_string(); });
    if (!strings || !content.contains("host") || !content.contains("path")) {
        return std::nullopt;
    }
    explained_request question{};
    question.host = content["host"].get<std::string>();
    question.path = content["path"].get<std::string>();
    question.path.erase(std::min(question.path.find('?'), question.path.size()));
    question.method = content.value("method", question.method);
    question.team = content.value("team", std::string{});
    if (content.contains("key")) {
        question.key = digest_of_key(content["key"].get<std::string>());
    }
    return question;
}

operator_service::operator_service(dependencies used) : deps{std::move(used)} {}

void operator_service::answer(http_server_exchange& exchange) const {
    const auto& path = exchange.request().path;
    if (path == "/metrics") {
        auto reply = text_reply(200, this->deps.exported_metrics.text());
        reply.content_type = "text/plain; version=0.0.4";
        exchange.respond(reply);
    } else if (path == "/state") {
        http_reply reply{};
        // Names of other instances come from the network and may be no UTF-8.
        reply.body = this->describe().dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        exchange.respond(reply);
    } else if (path == "/explain") {
        exchange.respond(this->explain(exchange.request()));
    } else {
        exchange.respond(text_reply(404, "paths: /state /metrics /explain\n"));
    }
}

http_reply operator_service::explain(const http_request& request) const {
    if (request.head.getMethod() != Poco::Net::HTTPRequest::HTTP_POST) {
        return text_reply(405, "POST a JSON object with host, path, and optionally method, team, key\n");
    }
    const auto question = parse_question(request.body);
    if (!question) {
        return text_reply(400, "expected a JSON object of strings: host, path, and optionally method, team, key\n");
    }
    auto found = this->deps.requests.explain(*question);
    if (found.status == 200) {
        found.content["instance"] = this->deps.instance_name;
        found.content["config_age_ms"] =
            std::chrono::duration_cast<milliseconds>(this->deps.follower.config_age()).count();
        found.content["targets_age_ms"] =
            std::chrono::duration_cast<milliseconds>(this->deps.follower.targets_age()).count();
    }
    http_reply reply{};
    reply.status = found.status;
    reply.body = found.content.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return reply;
}

nlohmann::json operator_service::describe() const {
    const auto& own = this->deps;
    auto leaders = nlohmann::json::array();
    for (const auto& record : own.members.leaders()) {
        leaders.push_back({{"name", record.identity.name}, {"config_version", record.config.version}});
    }
    auto evacuations = nlohmann::json{{"followed", own.evacuations.enabled()},
                                      {"zones", own.evacuations.current().zones},
                                      {"revision", own.evacuations.current().position.revision}};
    if (own.evacuations.enabled()) {
        evacuations["age_ms"] = std::chrono::duration_cast<milliseconds>(own.evacuations.age()).count();
    }
    return {{"instance", own.instance_name},
            {"incarnation", own.incarnation},
            {"ready", own.ready()},
            {"stopping", own.stopping()},
            {"config_version", own.follower.config().id.version},
            {"config_age_ms", std::chrono::duration_cast<milliseconds>(own.follower.config_age()).count()},
            {"targets_age_ms", std::chrono::duration_cast<milliseconds>(own.follower.targets_age()).count()},
            {"evacuations", std::move(evacuations)},
            {"platform_calls", own.store.calls()},
            {"caller_connections", own.callers.connections()},
            {"overlapping_requests", own.callers.overlapping_requests()},
            {"body_memory_bytes", own.body_memory.reserved()},
            {"body_memory_capacity_bytes", own.body_memory.capacity()},
            {"log_lines_dropped", own.log.dropped()},
            {"known_instances", own.members.size()},
            {"leaders", std::move(leaders)},
            {"quotas", own.quotas.describe()},
            {"forwarding", own.requests.describe()}};
}

} // namespace mangopulley
