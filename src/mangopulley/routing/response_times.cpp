#include "response_times.hpp"

#include <algorithm>

namespace mangopulley {

namespace {

// Sorting costs about 2 us, so the quantiles are recomputed only once per `refresh_period` samples.
constexpr std::size_t refresh_period = 16U;
constexpr auto min_suspect_threshold = std::chrono::milliseconds{2};

} // namespace

void response_times::record(const duration sample) noexcept {
    this->samples[this->next] = sample.count();
    this->next = (this->next + 1U) % window;
    this->count = std::min(this->count + 1U, window);
    if (this->count < 2U * min_samples || this->next % refresh_period == 0U) {
        this->refresh();
    }
}

duration response_times::suspect_threshold() const noexcept {
    if (!this->known()) {
        return duration::max();
    }
    const auto high_variance_threshold =
        std::min(this->cached_percentile_90 + this->cached_percentile_90 / 2, 8 * this->cached_median);
    return std::max<duration>({3 * this->cached_median, high_variance_threshold, min_suspect_threshold});
}

void response_times::refresh() noexcept {
    std::array<duration::rep, window> sorted{};
    auto* const first = sorted.data();
    auto* const last = std::copy_n(this->samples.data(), this->count, first);
    std::sort(first, last);
    const auto quantile = [&](const std::size_t percent) {
        return duration{sorted[std::min(this->count * percent / 100U, this->count - 1U)]};
    };
    this->cached_median = quantile(50U);
    this->cached_percentile_90 = quantile(90U);
    this->cached_percentile_95 = quantile(95U);
}

} // namespace mangopulley
