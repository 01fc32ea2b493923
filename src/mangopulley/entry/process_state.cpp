#include "process_state.hpp"

#include <optional>

#include <nlohmann/json.hpp>

namespace mangopulley {

namespace internal {

[[nodiscard]] double to_ms(const duration time) {
    return std::chrono::duration<double, std::milli>(time).count();
}

[[nodiscard]] nlohmann::json to_ms(const std::optional<duration>& time) {
    return time ? nlohmann::json(to_ms(*time)) : nlohmann::json(nullptr);
}

[[nodiscard]] std::string_view name_of(const freshness_state state) noexcept {
    switch (state) {
    case freshness_state::confirmed:
        return "confirmed";
    case freshness_state::store_outage:
        return "store_outage";
    case freshness_state::isolated:
        return "isolated";
    }
    return "";
}

[[nodiscard]] nlohmann::json describe_target(const target_snapshot& target) {
    return {{"id", target.id},
            {"endpoint", target.endpoint},
            {"zone", target.zone},
            {"listed", target.listed},
            {"leaving", target.leaving},
            {"draining", target.draining},
            {"unreachable", target.unreachable},
            {"suspect", target.suspect},
            {"suspect_for_ms", target.suspect_for.count()},
            {"in_flight", target.in_flight},
            {"foreign_load", target.remote_in_flight},
            {"slowdown", target.slowdown},
            {"answer_time_ms", to_ms(target.smoothed_response_time)},
            {"answers", target.answers},
            {"failures", target.failures},
            {"contradicted_reports", target.contradicted_reports}};
}

[[nodiscard]] nlohmann::json describe_service(service_runtime& runtime) {
    const auto queue = runtime.requests().describe();
    const auto counts = runtime.counts();
    nlohmann::json section{{"policy", queue.policy},
                           {"waiting", queue.waiting},
                           {"granted", queue.granted},
                           {"granted_after_wait", queue.granted_after_wait},
                           {"deadline_passed", queue.deadline_passed},
                           {"no_target", queue.no_target},
                           {"calls", counts.calls},
                           {"attempts", counts.attempts},
                           {"retries", counts.retries},
                           {"reconnects", counts.reconnects},
                           {"hedges", counts.hedges},
                           {"hedge_wins", counts.hedge_wins},
                           {"targets", nlohmann::json::array()},
                           {"kinds", nlohmann::json::array()}};
    for (const auto& target : queue.targets) {
        section["targets"].push_back(describe_target(target));
    }
    for (const auto& kind : queue.kinds) {
        section["kinds"].push_back({{"kind", kind.kind},
                                    {"median_ms", to_ms(kind.median)},
                                    {"percentile_95_ms", to_ms(kind.percentile_95)},
                                    {"suspect_age_ms", to_ms(kind.suspect_threshold)}});
    }
    return section;
}

[[nodiscard]] nlohmann::json describe_port(const http_server& port) {
    const auto numbers = port.numbers();
    return {{"connections", numbers.connections},
            {"waiting", numbers.waiting},
            {"in_progress", numbers.in_progress},
            {"accepted", numbers.accepted},
            {"rejected", numbers.rejected}};
}

} // namespace internal

nlohmann::json describe_instance(const settings& configuration, const member& self) {
    return {{"name", configuration.instance_name},
            {"incarnation", self.incarnation.to_string()},
            {"caller_address", self.caller_address},
            {"peer_address", self.peer_endpoint},
            {"zone", self.zone},
            {"region", self.region},
            {"leaving", self.state == member_state::leaving},
            {"uptime_ms", internal::to_ms(self.uptime)},
            {"version", MANGOPULLEY_VERSION}};
}

nlohmann::json describe_catalogue(const catalogue_holder& catalogue, const catalogue_freshness& freshness) {
    return {{"version", catalogue.current()->version},
            {"standing", internal::name_of(freshness.state())},
            {"serving", freshness.serving()},
            {"confirmation_age_ms", internal::to_ms(freshness.age_of_confirmation())},
            {"store_contact_age_ms", internal::to_ms(freshness.age_of_store_contact())},
            {"contact_age_ms", internal::to_ms(freshness.age_of_contact())},
            {"pauses", freshness.tick_gaps()}};
}

nlohmann::json describe_services(const service_table& services) {
    auto section = nlohmann::json::object();
    for (const auto& runtime : services.all()) {
        section[std::string{runtime->name()}] = internal::describe_service(*runtime);
    }
    return section;
}

nlohmann::json describe_limits(const admission& limits, const share_table& shares, const alert_gate& alerts) {
    nlohmann::json section{{"usage", nlohmann::json::array()}, {"alerts", nlohmann::json::array()}};
    for (const auto& usage : limits.describe()) {
        section["usage"].push_back({{"service", usage.service},
                                    {"requests_per_second", usage.requests_per_second},
                                    {"in_progress", usage.in_progress},
                                    {"refused", usage.refused},
                                    {"share", shares.share(usage.service)}});
    }
    for (const auto& item : alerts.describe()) {
        section["alerts"].push_back({{"service", item.service},
                                     {"limit", to_string(item.limit)},
                                     {"acknowledged", item.acknowledged},
                                     {"age_ms", internal::to_ms(item.age)},
                                     {"failures", item.failures}});
    }
    return section;
}

nlohmann::json describe_orders(const ledger& records, const witness_table& witnesses, const order_archive& archive) {
    const auto ledger_counts = records.count();
    const auto witness_counts = witnesses.count();
    const auto archive_counts = archive.count();
    return {{"records", ledger_counts.records},
            {"unfinished", ledger_counts.unfinished},
            {"answer_bytes", ledger_counts.answer_bytes},
            {"notes", witness_counts.notes},
            {"seals", witness_counts.seals},
            {"outcomes_of_others", witness_counts.outcomes},
            {"not_archived", archive_counts.pending},
            {"segments_written", archive_counts.segments_written},
            {"dropped", archive_counts.dropped}};
}

nlohmann::json describe_ports(const http_server& callers, const http_server& operators) {
    return {{"caller", internal::describe_port(callers)}, {"operator", internal::describe_port(operators)}};
}

nlohmann::json describe_control(const http_store_client& store, const tcp_peer_transport& peers,
                                const peer_server& port) {
    const auto calls = store.counts();
    const auto bytes = peers.counts();
    return {{"store_reads", calls.reads},
            {"store_writes", calls.writes},
            {"store_watches", calls.watches},
            {"peer_bytes_sent", bytes.sent + port.bytes_sent()},
            {"peer_bytes_received", bytes.received}};
}

} // namespace mangopulley
