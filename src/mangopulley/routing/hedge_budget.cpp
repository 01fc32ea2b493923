#include "hedge_budget.hpp"

#include <algorithm>

namespace mangopulley {

namespace internal {

namespace {

constexpr std::int64_t units_per_hedge = 1'000'000;

[[nodiscard]] std::int64_t to_units(const double hedges) noexcept {
    return static_cast<std::int64_t>(hedges * static_cast<double>(units_per_hedge));
}

} // namespace

} // namespace internal

hedge_budget::hedge_budget(const hedge_limits& bounds) noexcept {
    this->configure(bounds);
}

void hedge_budget::configure(const hedge_limits& bounds) noexcept {
    const std::lock_guard lock{this->guard};
    this->earned_per_first_attempt = internal::to_units(bounds.share);
    this->capacity = internal::to_units(bounds.burst);
    this->balance = std::min(this->balance, this->capacity);
    const auto length = bounds.window / slices_per_window;
    if (length != this->slice_length) {
        this->slice_length = length;
        this->slices = {};
    }
}

std::int64_t hedge_budget::slice_index(const time_point now) const noexcept {
    return now.time_since_epoch() / this->slice_length;
}

hedge_budget::slice& hedge_budget::slice_at(const time_point now) noexcept {
    const auto index = this->slice_index(now);
    auto& entry = this->slices[static_cast<std::size_t>(index) % this->slices.size()];
    if (entry.index != index) {
        entry = {index, 0U, 0U};
    }
    return entry;
}

bool hedge_budget::within_window(const time_point now) const noexcept {
    const auto newest = this->slice_index(now);
    std::uint64_t first_attempts{};
    std::uint64_t hedges{};
    for (const auto& entry : this->slices) {
        const auto age = newest - entry.index;
        // The oldest slice lies partly before the window: its hedges count, its first attempts do not.
        const bool oldest = age == static_cast<std::int64_t>(slices_per_window);
        if (entry.index >= 0 && age <= static_cast<std::int64_t>(slices_per_window)) {
            first_attempts += oldest ? 0U : entry.first_attempts;
            hedges += entry.hedges;
        }
    }
    return static_cast<std::int64_t>(hedges + 1U) * internal::units_per_hedge <=
           static_cast<std::int64_t>(first_attempts) * this->earned_per_first_attempt;
}

bool hedge_budget::can_spend(const time_point now) const noexcept {
    return this->balance >= internal::units_per_hedge &&
           (this->slice_length == duration::zero() || this->within_window(now));
}

void hedge_budget::record_first_attempt(const time_point now) noexcept {
    const std::lock_guard lock{this->guard};
    this->balance = std::min(this->balance + this->earned_per_first_attempt, this->capacity);
    if (this->slice_length != duration::zero()) {
        ++this->slice_at(now).first_attempts;
    }
}

bool hedge_budget::available(const time_point now) const noexcept {
    const std::lock_guard lock{this->guard};
    return this->can_spend(now);
}

bool hedge_budget::half_full() const noexcept {
    const std::lock_guard lock{this->guard};
    return 2 * this->balance >= this->capacity;
}

bool hedge_budget::try_spend(const time_point now) noexcept {
    const std::lock_guard lock{this->guard};
    if (!this->can_spend(now)) {
        return false;
    }
    this->balance -= internal::units_per_hedge;
    if (this->slice_length != duration::zero()) {
        ++this->slice_at(now).hedges;
    }
    return true;
}

} // namespace mangopulley
