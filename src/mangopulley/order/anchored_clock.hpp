#pragma once

#include <cstdint>

#include "../core/clock.hpp"
#include "fwd.hpp"

namespace mangopulley {

/**
 * @brief Wall-clock seconds that never jump: the wall clock is read once and then advanced by the monotonic clock.
 *
 * If the wall clock were set back, keys would become valid again after their records were dropped.
 */
class anchored_clock {
public:
    /*! @brief Reads the wall and the monotonic time once; the clock must outlive this object. */
    explicit anchored_clock(const clock& time) noexcept
        : source{&time}, anchor{time.now()},
          wall_anchor{std::chrono::duration_cast<std::chrono::seconds>(time.wall().time_since_epoch()).count()} {}

    /*! @brief Returns the seconds since the epoch. */
    [[nodiscard]] std::uint64_t seconds() const noexcept {
        const auto elapsed = std::chrono::duration_cast<std::chrono::seconds>(this->source->now() - this->anchor);
        return static_cast<std::uint64_t>(this->wall_anchor + elapsed.count());
    }

    /*! @brief Returns the monotonic time of the underlying clock. */
    [[nodiscard]] time_point now() const noexcept { return this->source->now(); }

private:
    const clock* source;
    time_point anchor;
    std::chrono::seconds::rep wall_anchor;
};

} // namespace mangopulley
