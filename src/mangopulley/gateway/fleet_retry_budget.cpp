#include "fleet_retry_budget.hpp"

#include <algorithm>

namespace mangopulley {

namespace internal {

namespace {

// Other instances may have lost their counts in a restart, and the window does not align with the buckets.
constexpr double usable_slack_share = 0.5;
constexpr double usable_ratio_share = 0.75;

} // namespace

} // namespace internal

void fleet_retry_budget::configure(const retry_limits& bounds, const std::size_t instance_count) noexcept {
    this->limits = bounds;
    this->instances = std::max<std::size_t>(instance_count, 1U);
}

fleet_retry_budget::bucket& fleet_retry_budget::bucket_at(const time_point now) noexcept {
    const auto length = std::max<duration>(this->limits.window / buckets_per_window, duration{1});
    const auto index = now.time_since_epoch() / length;
    auto& entry = this->buckets[static_cast<std::size_t>(index) % this->buckets.size()];
    if (entry.index != index) {
        entry = {index, 0U, 0U};
    }
    return entry;
}

void fleet_retry_budget::count_request(const time_point now) noexcept {
    ++this->bucket_at(now).requests;
}

bool fleet_retry_budget::try_take(const time_point now) noexcept {
    auto& current = this->bucket_at(now);
    double requests = 0.0;
    double retries = 0.0;
    for (const auto& entry : this->buckets) {
        if (entry.index > current.index - static_cast<std::int64_t>(this->buckets.size())) {
            requests += entry.requests;
            retries += entry.retries;
        }
    }
    const double slack = this->limits.slack * internal::usable_slack_share / static_cast<double>(this->instances);
    if (retries + 1.0 > requests * this->limits.ratio * internal::usable_ratio_share + slack) {
        return false;
    }
    ++current.retries;
    return true;
}

} // namespace mangopulley
