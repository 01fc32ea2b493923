#pragma once

#include <algorithm>
#include <atomic>
#include <cstdint>

#include "fwd.hpp"

namespace mangopulley::internal {

/**
 * @brief Token bucket that is refilled by first attempts rather than by time.
 *
 * The tokens spent never exceed the initial tokens plus the given share of the first attempts so far. The capacity
 * bounds the burst that can be spent after a long time without spending.
 */
class share_bucket {
public:
    share_bucket(const double share, const std::uint32_t burst, const std::uint32_t initial) noexcept
        : earned_per_first_attempt{static_cast<std::int64_t>(share * units_per_token)},
          capacity{static_cast<std::int64_t>(burst) * units_per_token}, balance{static_cast<std::int64_t>(initial) *
                                                                                units_per_token} {}

    void record_first_attempt() noexcept {
        auto present = this->balance.load(std::memory_order_relaxed);
        while (!this->balance.compare_exchange_weak(
            present, std::min(present + this->earned_per_first_attempt, this->capacity), std::memory_order_relaxed)) {
        }
    }

    [[nodiscard]] bool available() const noexcept {
        return this->balance.load(std::memory_order_relaxed) >= units_per_token;
    }

    [[nodiscard]] bool half_full() const noexcept {
        return 2 * this->balance.load(std::memory_order_relaxed) >= this->capacity;
    }

    [[nodiscard]] bool try_spend() noexcept {
        auto present = this->balance.load(std::memory_order_relaxed);
        while (present >= units_per_token) {
            if (this->balance.compare_exchange_weak(present, present - units_per_token, std::memory_order_relaxed)) {
                return true;
            }
        }
        return false;
    }

private:
    static constexpr std::int64_t units_per_token = 1000;

    std::int64_t earned_per_first_attempt;
    std::int64_t capacity;
    std::atomic<std::int64_t> balance;
};

} // namespace mangopulley::internal
