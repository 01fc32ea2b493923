#include "transaction_log.hpp"

#include <algorithm>
#include <cstdio>
#include <string>

#include <Poco/String.h>

#include "../http/field_names.hpp"

namespace mangopulley::internal {

namespace {

// Logged for a target without a load reading, whose reading age is the maximum of the type.
constexpr duration max_logged_age{std::chrono::seconds{999}};

/*! @brief Returns the host and the beginning of the path that a request without a route asks for. */
[[nodiscard]] std::string requested_resource(const http_request& request) {
    constexpr std::size_t max_logged_bytes = 120U;
    return (request.header(field_name::host).value_or("") + request.path).substr(0U, max_logged_bytes);
}

/*! @brief Returns a name as the value of a label, in which quotes and line breaks would end the metric. */
[[nodiscard]] std::string to_label(const std::string_view name) {
    std::string label{name};
    std::replace_if(
        label.begin(), label.end(),
        [](const char byte) { return byte == '"' || byte == '\\' || static_cast<unsigned char>(byte) < ' '; }, '_');
    return label;
}

void count_completion(const transaction& transaction, const int status, const std::string_view outcome,
                      const time_point now, metrics& metric_sink) {
    std::string name{"requests_total{service=\""};
    name.append(transaction.service).append("\",outcome=\"").append(outcome).append("\",status=\"");
    name.append(std::to_string(status)).append("\"}");
    metric_sink.count(name);
    if (transaction.team != nullptr) {
        metric_sink.count("team_requests_total{team=\"" + to_label(transaction.team->name) + "\",answered=\"" +
                          (outcome == "answered" ? "yes" : "no") + "\"}");
    }
    if (outcome == "answered") {
        metric_sink.observe("request_seconds{service=\"" + transaction.service + "\"}", now - transaction.arrived);
    }
}

} // namespace

std::string to_milliseconds(const duration time) {
    char text[32];
    std::snprintf(text, sizeof text, "%.1f", std::chrono::duration<double, std::milli>(time).count());
    return text;
}

std::string to_decimal(const double number) {
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", number);
    return text;
}

std::string_view name_of(const refusal_reason reason) noexcept {
    switch (reason) {
    case refusal_reason::no_target:
        return "no_target";
    case refusal_reason::paused:
        return "paused";
    case refusal_reason::overloaded:
        return "overloaded";
    case refusal_reason::out_of_time:
        return "out_of_time";
    }
    return "unknown";
}

std::string hedge_label(const transaction& transaction) {
    switch (transaction.hedge) {
    case hedge_state::none:
        return {};
    case hedge_state::withheld:
        return "withheld_" + std::string{name_of(transaction.hedge_withheld)};
    case hedge_state::sent:
        return "sent";
    case hedge_state::won:
        return "won";
    case hedge_state::cancelled:
        return "cancelled";
    }
    return "unknown";
}

std::string_view name_of(const network_error_code code) noexcept {
    switch (code) {
    case network_error::code::connect_failed:
        return "connect_failed";
    case network_error::code::broken:
        return "broken";
    case network_error::code::timed_out:
        return "timed_out";
    case network_error::code::malformed:
        return "malformed";
    }
    return "unknown";
}

void record_completion(const transaction& transaction, const int status, const std::string_view outcome,
                       const time_point now, decision_log& log, metrics& metric_sink) {
    const auto waited =
        (transaction.first_sent_at == time_point{} ? now : transaction.first_sent_at) - transaction.arrived;
    const bool unmatched = transaction.matched_route == nullptr;
    const auto& request = transaction.exchange->request();
    log.request(
        "request",
        {{"request_id", transaction.metadata.request_id},
         {"outcome", std::string{outcome}},
         {"status", std::to_string(status)},
         {"cause", transaction.cause},
         {"route", unmatched ? std::string{} : transaction.matched_route->name},
         {"requested", unmatched ? requested_resource(request) : std::string{}},
         {"service", transaction.service},
         {"team", transaction.team == nullptr ? std::string{} : transaction.team->name},
         {"targets", Poco::cat(std::string{","}, transaction.tried_targets.begin(), transaction.tried_targets.end())},
         {"connections",
          Poco::cat(std::string{","}, transaction.tried_connections.begin(), transaction.tried_connections.end())},
         {"hedge", hedge_label(transaction)},
         {"waited_ms", to_milliseconds(waited)},
         {"total_ms", to_milliseconds(now - transaction.arrived)},
         {"time_left_ms", to_milliseconds(transaction.deadline - now)},
         {"slowness", to_decimal(transaction.first_slowdown)},
         {"reading_age_ms", to_milliseconds(std::min(transaction.first_reading_age, max_logged_age))},
         {"retry_after_ms", to_milliseconds(transaction.retry_after)},
         {"config_version", std::to_string(transaction.config->id.version)}});
    count_completion(transaction, status, outcome, now, metric_sink);
}

} // namespace mangopulley::internal
