#pragma once

#include <algorithm>
#include <atomic>
#include <cstdint>

#include "fwd.hpp"

namespace mangopulley::internal {

/**
 * @brief Token bucket that is filled by first tries rather than by time.
 *
 * At any moment the tokens spent are at most the share of the first tries so far and the tokens given at the start; the
 * limit on saved tokens bounds what can be spent at once after a long time without need.
 */
class share_bucket {
public:
    share_bucket(const double share, const std::uint32_t burst, const std::uint32_t initial) noexcept
        : gain{static_cast<std::int64_t>(share * token)}, most{static_cast<std::int64_t>(burst) * token},
          level{static_cast<std::int64_t>(initial) * token} {}

    void first_try() noexcept {
        auto present = this->level.load(std::memory_order_relaxed);
        while (!this->level.compare_exchange_weak(present, std::min(present + this->gain, this->most),
                                                  std::memory_order_relaxed)) {
        }
    }

    [[nodiscard]] bool available() const noexcept { return this->level.load(std::memory_order_relaxed) >= token; }

    [[nodiscard]] bool half_full() const noexcept {
        return 2 * this->level.load(std::memory_order_relaxed) >= this->most;
    }

    [[nodiscard]] bool try_spend() noexcept {
        auto present = this->level.load(std::memory_order_relaxed);
        while (present >= token) {
            if (this->level.compare_exchange_weak(present, present - token, std::memory_order_relaxed)) {
                return true;
            }
        }
        return false;
    }

private:
    static constexpr std::int64_t token = 1000;

    std::int64_t gain;
    std::int64_t most;
    std::atomic<std::int64_t> level;
};

} // namespace mangopulley::internal
