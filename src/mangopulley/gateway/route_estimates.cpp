#include "route_estimates.hpp"

#include <algorithm>

namespace mangopulley {

namespace internal {

namespace {

constexpr double work_weight = 0.08;
constexpr double min_slowdown = 0.1;

} // namespace

} // namespace internal

duration route_estimates::expected_work(const route& selected) const {
    const auto position = this->work.find(selected.name);
    if (position != this->work.end()) {
        return position->second;
    }
    return std::chrono::duration_cast<duration>(selected.latency_goal * this->initial_work_share);
}

void route_estimates::record_work(const route& selected, const duration elapsed, const double slowdown) {
    const auto normalized = std::chrono::duration_cast<duration>(elapsed / std::max(slowdown, internal::min_slowdown));
    auto& mean = this->work.try_emplace(selected.name, this->expected_work(selected)).first->second;
    mean += std::chrono::duration_cast<duration>((normalized - mean) * internal::work_weight);
}

duration route_estimates::spent_before(const route& selected, const std::optional<duration> time_left) {
    return time_left ? this->timeouts[selected.name].spent(*time_left) : duration::zero();
}

} // namespace mangopulley
