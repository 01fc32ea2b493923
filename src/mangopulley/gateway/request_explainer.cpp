#include "request_explainer.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <string_view>

#include "gateway_response.hpp"
#include "transaction_log.hpp"

namespace mangopulley::internal {

namespace {

[[nodiscard]] std::string_view name_of(const next_step step) noexcept {
    constexpr std::array<std::string_view, 4U> names{"refused", "sent", "probes_first", "waits"};
    return names[static_cast<std::size_t>(step)];
}

[[nodiscard]] double milliseconds_of(const duration time) noexcept {
    return std::chrono::duration<double, std::milli>(time).count();
}

[[nodiscard]] nlohmann::json describe_refusal(const int status, const std::string_view reason,
                                              const std::optional<duration> retry_after) {
    nlohmann::json refused{{"status", status}, {"reason", reason}};
    if (retry_after) {
        refused["retry_after_ms"] = milliseconds_of(*retry_after);
    }
    return refused;
}

[[nodiscard]] explanation make_error(const int status, const std::string_view error, const std::string& message) {
    return {status, {{"error", error}, {"message", message}}};
}

[[nodiscard]] nlohmann::json describe_targets(const std::vector<target_pool::explained_target>& targets,
                                              const bool refused, const time_point now) {
    auto all = nlohmann::json::array();
    for (const auto& [target, choice, expected] : targets) {
        // A target is chosen only for a request that would get there.
        const bool selected = choice == target_reason::chosen || choice == target_reason::probed;
        const auto reason = refused && selected ? target_reason::available : choice;
        nlohmann::json item{{"id", target->listing.id},       {"endpoint", target->listing.endpoint},
                            {"zone", target->listing.zone},   {"reason", mangopulley::name_of(reason)},
                            {"in_flight", target->in_flight}, {"in_flight_elsewhere", target->remote_in_flight},
                            {"slots", target->listing.slots}, {"expected_ms", milliseconds_of(expected)},
                            {"reading_age_ms", nullptr}};
        if (target->reading) {
            item["reading_age_ms"] = milliseconds_of(target->reading_age(now));
        }
        all.push_back(std::move(item));
    }
    return all;
}

} // namespace

const team_config* request_explainer::find_team(const explained_request& question) const {
    if (question.team.empty()) {
        return question.key ? this->deps.routes.find_team(*question.key) : nullptr;
    }
    const auto& teams = this->deps.routes.current()->teams;
    const auto found = std::find_if(teams.begin(), teams.end(),
                                    [&question](const team_config& team) { return team.name == question.team; });
    return found == teams.end() ? nullptr : &*found;
}

std::optional<allowance_table::limit_preview> request_explainer::preview_quota(const team_config* team) const {
    return this->deps.quotas == nullptr || team == nullptr ? std::nullopt : this->deps.quotas->preview(*team);
}

nlohmann::json request_explainer::describe_quota(const team_config& team) const {
    const auto quota = this->preview_quota(&team);
    if (!quota) {
        return nullptr;
    }
    return {{"rate", quota->rate}, {"burst", quota->burst}, {"share", quota->share}, {"tokens", quota->tokens}};
}

nlohmann::json request_explainer::refusal_before_queue(const route& selected, const team_config* team) const {
    if (!may_use_route(*this->deps.routes.current(), team, selected)) {
        return describe_refusal(401, "unauthorized", std::nullopt);
    }
    if (this->deps.refused_at_stop(this->deps.now + selected.time_limit)) {
        return describe_refusal(503, "stopping", std::nullopt);
    }
    const auto quota = this->preview_quota(team);
    if (quota && !quota->admitted) {
        return describe_refusal(429, "over_quota", quota->retry_after);
    }
    return nullptr;
}

void request_explainer::add_decision(nlohmann::json& content, const route& selected, const team_config* team) const {
    const auto now = this->deps.now;
    const std::string service{this->deps.routes.preview_service(selected)};
    waiting_request item{};
    item.priority = queue_priority(team, selected);
    item.team = team == nullptr ? std::string{} : team->name;
    item.arrived = now;
    item.latency_goal = now + selected.latency_goal;
    item.deadline = now + selected.time_limit;
    item.work = this->deps.estimates.expected_work(selected);
    const auto preview = this->deps.services.preview(service, item);
    content["service"] = service;
    content["queue"] = {{"waiting", preview.waiting},
                        {"ahead", preview.ahead},
                        {"expected_wait_ms", milliseconds_of(preview.expected_wait)}};
    content["refusal"] = this->refusal_before_queue(selected, team);
    if (content["refusal"].is_null() && preview.refused) {
        content["refusal"] =
            describe_refusal(503, internal::name_of(preview.refused->reason), preview.refused->retry_after);
    }
    const auto step = content["refusal"].is_null() ? preview.step : next_step::refused;
    content["step"] = name_of(step);
    content["targets"] = describe_targets(preview.targets, step == next_step::refused, now);
}

explanation request_explainer::explain(const explained_request& question) const {
    const auto& config = *this->deps.routes.current();
    if (!config.loaded()) {
        return make_error(503, "no_config", "the instance has no configuration yet");
    }
    const auto* selected = this->deps.routes.find(question.host, question.path);
    if (selected == nullptr) {
        return make_error(404, "no_route",
                          "no route for host '" + question.host + "' and path '" + question.path + "'");
    }
    const auto* team = this->find_team(question);
    if (team == nullptr && !question.team.empty()) {
        return make_error(404, "no_team", "no team named '" + question.team + "'");
    }
    explanation found{};
    found.content["request"] = {{"host", question.host}, {"path", question.path}, {"method", question.method}};
    found.content["config_version"] = config.id.version;
    auto parts = nlohmann::json::array();
    for (const auto& part : selected->parts) {
        parts.push_back({{"service", part.service}, {"weight", part.weight}});
    }
    found.content["route"] = {{"name", selected->name},
                              {"prefix", selected->prefix},
                              {"idempotent", selected->idempotent},
                              {"public", selected->is_public},
                              {"time_limit_ms", milliseconds_of(selected->time_limit)},
                              {"latency_goal_ms", milliseconds_of(selected->latency_goal)},
                              {"parts", std::move(parts)}};
    found.content["team"] = nullptr;
    if (team != nullptr) {
        found.content["team"] = {
            {"name", team->name}, {"priority", team->priority}, {"quota", this->describe_quota(*team)}};
    }
    this->add_decision(found.content, *selected, team);
    return found;
}

} // namespace mangopulley::internal
