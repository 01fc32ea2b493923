#include "transaction_log.hpp"

#include <algorithm>
#include <cstdio>
#include <string>

#include <Poco/String.h>

namespace mangopulley::internal {

namespace {

// Shown for a target without any reading.
constexpr duration longest_shown_age{std::chrono::seconds{999}};

[[nodiscard]] std::string to_milliseconds(const duration time) {
    char text[32];
    std::snprintf(text, sizeof text, "%.1f", std::chrono::duration<double, std::milli>(time).count());
    return text;
}

void count_end(const transaction& item, const int status, const std::string_view outcome, const time_point now,
               metrics& numbers) {
    std::string name{"requests_total{service=\""};
    name.append(item.service).append("\",outcome=\"").append(outcome).append("\",status=\"");
    name.append(std::to_string(status)).append("\"}");
    numbers.count(name);
    if (outcome == "answered") {
        numbers.observe("request_seconds{service=\"" + item.service + "\"}", now - item.arrived);
    }
}

} // namespace

std::string to_decimal(const double number) {
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", number);
    return text;
}

std::string_view name_of(const refusal_reason reason) noexcept {
    switch (reason) {
    case refusal_reason::no_target:
        return "no_target";
    case refusal_reason::overloaded:
        return "overloaded";
    case refusal_reason::out_of_time:
        return "out_of_time";
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

void record_end(const transaction& item, const int status, const std::string_view outcome, const time_point now,
                decision_log& log, metrics& numbers) {
    const auto waited = (item.first_sent == time_point{} ? now : item.first_sent) - item.arrived;
    log.request("request", {{"request_id", item.facts.id},
                            {"outcome", std::string{outcome}},
                            {"status", std::to_string(status)},
                            {"cause", item.cause},
                            {"route", item.selected == nullptr ? std::string{} : item.selected->name},
                            {"service", item.service},
                            {"targets", Poco::cat(std::string{","}, item.tried.begin(), item.tried.end())},
                            {"waited_ms", to_milliseconds(waited)},
                            {"total_ms", to_milliseconds(now - item.arrived)},
                            {"time_left_ms", to_milliseconds(item.deadline - now)},
                            {"slowness", to_decimal(item.first_slowness)},
                            {"reading_age_ms", to_milliseconds(std::min(item.first_reading_age, longest_shown_age))},
                            {"retry_after_ms", to_milliseconds(item.retry_after)},
                            {"config_version", std::to_string(item.config->version)}});
    count_end(item, status, outcome, now, numbers);
}

} // namespace mangopulley::internal
