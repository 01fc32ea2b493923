#include "hedge_policy.hpp"

#include <algorithm>

namespace mangopulley {

std::string_view name_of(const hedge_obstacle why) noexcept {
    switch (why) {
    case hedge_obstacle::unknown_times:
        return "unknown_times";
    case hedge_obstacle::body:
        return "body";
    case hedge_obstacle::attempts:
        return "attempts";
    case hedge_obstacle::deadline:
        return "deadline";
    case hedge_obstacle::near_full:
        return "near_full";
    case hedge_obstacle::no_target:
        return "no_target";
    case hedge_obstacle::share:
        return "share";
    case hedge_obstacle::retry_budget:
        return "retry_budget";
    }
    return "unknown";
}

bool may_pass(const hedge_obstacle why) noexcept {
    return why != hedge_obstacle::body && why != hedge_obstacle::attempts && why != hedge_obstacle::deadline;
}

void hedge_policy::configure(const double extra_share, const std::size_t instances, const duration window) noexcept {
    const auto equal_part = this->rule.fleet_burst / static_cast<double>(std::max<std::size_t>(instances, 1U));
    // Less than one whole hedge could never be spent.
    this->budget.configure({extra_share * this->rule.usable_share, std::max(equal_part, 1.0), window});
}

void hedge_policy::record_request(const time_point now) noexcept {
    this->budget.record_first_attempt(now);
}

void hedge_policy::record_time(const duration elapsed) noexcept {
    this->times.record(elapsed);
}

std::optional<duration> hedge_policy::delay() const noexcept {
    if (!this->times.known()) {
        return std::nullopt;
    }
    const auto above_median = std::chrono::duration_cast<duration>(this->times.median() * this->rule.min_median_factor);
    return std::max<duration>({this->times.percentile_95(), above_median, this->rule.min_delay});
}

std::optional<hedge_obstacle> hedge_policy::find_obstacle(const hedge_candidate& candidate,
                                                          const time_point now) const noexcept {
    if (!this->times.known()) {
        return hedge_obstacle::unknown_times;
    }
    if (!candidate.body_held) {
        return hedge_obstacle::body;
    }
    if (candidate.attempts >= candidate.max_attempts) {
        return hedge_obstacle::attempts;
    }
    if (candidate.shortest_response > candidate.time_left) {
        return hedge_obstacle::deadline;
    }
    if (candidate.others_wait || candidate.busy_share > this->rule.max_busy_share) {
        return hedge_obstacle::near_full;
    }
    return this->budget.available(now) ? std::nullopt : std::optional{hedge_obstacle::share};
}

std::optional<hedge_obstacle> hedge_policy::decide(const hedge_candidate& candidate, fleet_retry_budget& retries,
                                                   const std::function<bool()>& find_target, const time_point now) {
    if (const auto found = this->find_obstacle(candidate, now)) {
        return found;
    }
    if (!find_target()) {
        return hedge_obstacle::no_target;
    }
    if (!retries.try_take(now)) {
        return hedge_obstacle::retry_budget;
    }
    return this->budget.try_spend(now) ? std::nullopt : std::optional{hedge_obstacle::share};
}

} // namespace mangopulley
