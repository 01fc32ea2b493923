#include "demand_meter.hpp"

#include <cmath>

namespace mangopulley {

void demand_meter::count(const time_point now, const duration smoothing) noexcept {
    this->value = this->rate(now, smoothing) + 1.0 / std::chrono::duration<double>(smoothing).count();
    this->updated = now;
}

double demand_meter::rate(const time_point now, const duration smoothing) const noexcept {
    const std::chrono::duration<double> age{now - this->updated};
    return this->value * std::exp(-age / std::chrono::duration<double>{smoothing});
}

} // namespace mangopulley
