#pragma once

#include <algorithm>

#include "../core/fwd.hpp"

namespace mangopulley {

/*! @brief Token bucket rate limiter. Not thread-safe. */
class token_bucket {
public:
    /**
     * @brief Creates a full bucket.
     * @param rate Tokens per second.
     * @param burst Capacity in tokens.
     * @param now Current time.
     */
    token_bucket(const double rate, const double burst, const time_point now) noexcept
        : tokens_per_second{rate}, capacity{burst}, tokens{burst}, updated{now} {}

    /*! @brief Changes rate and capacity; accumulated tokens are kept up to the new capacity. */
    void configure(const double rate, const double burst, const time_point now) noexcept {
        this->refill(now);
        this->tokens_per_second = rate;
        this->capacity = burst;
        this->tokens = std::min(this->tokens, burst);
    }

    /*! @brief Takes a token if one is available; returns whether it did. */
    [[nodiscard]] bool try_take(const time_point now) noexcept {
        this->refill(now);
        if (this->tokens < 1.0) {
            return false;
        }
        this->tokens -= 1.0;
        return true;
    }

    /*! @brief Empties the bucket. */
    void clear(const time_point now) noexcept {
        this->tokens = 0.0;
        this->updated = now;
    }

    /*! @brief Returns the time until a token is available, at most one hour; zero if there is one already. */
    [[nodiscard]] duration time_to_token(const time_point now) noexcept {
        this->refill(now);
        const double missing = std::max(0.0, 1.0 - this->tokens);
        const double seconds = this->tokens_per_second > 0.0
                                   ? std::min(missing / this->tokens_per_second, max_wait_seconds)
                                   : max_wait_seconds;
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
    }

private:
    static constexpr double max_wait_seconds = 3600.0;

    void refill(const time_point now) noexcept {
        const double elapsed = std::chrono::duration<double>(now - this->updated).count();
        if (elapsed > 0.0) {
            this->tokens = std::min(this->capacity, this->tokens + (elapsed * this->tokens_per_second));
            this->updated = now;
        }
    }

    double tokens_per_second;
    double capacity;
    double tokens;
    time_point updated;
};

} // namespace mangopulley
