#include "answer_times.hpp"

#include <algorithm>

namespace mangopulley {

namespace {

// Sorting costs about 2 us, so the quantiles are renewed only once in a number of samples.
constexpr std::size_t refresh_period = 16U;
constexpr auto lowest_suspect_age = std::chrono::milliseconds{2};

} // namespace

void answer_times::record(const duration sample) noexcept {
    this->samples[this->next] = sample.count();
    this->next = (this->next + 1U) % window;
    this->count = std::min(this->count + 1U, window);
    if (this->count < 2U * fewest_samples || this->next % refresh_period == 0U) {
        this->refresh();
    }
}

duration answer_times::suspect_age() const noexcept {
    if (!this->known()) {
        return duration::max();
    }
    const auto scattered = std::min(this->wide + this->wide / 2, 8 * this->middle);
    return std::max<duration>({3 * this->middle, scattered, lowest_suspect_age});
}

void answer_times::refresh() noexcept {
    std::array<duration::rep, window> sorted{};
    auto* const first = sorted.data();
    auto* const last = std::copy_n(this->samples.data(), this->count, first);
    std::sort(first, last);
    const auto quantile = [&](const std::size_t percent) {
        return duration{sorted[std::min(this->count * percent / 100U, this->count - 1U)]};
    };
    this->middle = quantile(50U);
    this->wide = quantile(90U);
    this->high = quantile(95U);
}

} // namespace mangopulley
