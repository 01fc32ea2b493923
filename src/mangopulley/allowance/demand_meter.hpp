#pragma once

#include "../core/fwd.hpp"

namespace mangopulley {

/*! @brief Exponentially smoothed number of arrivals per second. */
class demand_meter {
public:
    /*! @brief Counts an arrival. */
    void count(time_point now, duration smoothing) noexcept;
    /*! @brief Returns the arrivals per second. */
    [[nodiscard]] double rate(time_point now, duration smoothing) const noexcept;

private:
    double value{};
    time_point updated{};
};

} // namespace mangopulley
