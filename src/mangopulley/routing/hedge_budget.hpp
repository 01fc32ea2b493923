#pragma once

#include <cstdint>

#include "fwd.hpp"
#include "share_bucket.hpp"

namespace mangopulley {

/*! @brief Limits the hedges of one service to a share of its first attempts. */
class hedge_budget {
public:
    /**
     * @brief Creates an empty budget.
     * @param share Tokens earned by each first attempt.
     * @param burst Maximum number of saved tokens.
     */
    explicit hedge_budget(const double share = 0.05, const std::uint32_t burst = 50U) noexcept
        : bucket{share, burst, 0U} {}

    /*! @brief Counts a first attempt and earns its share of a token. */
    void record_first_attempt() noexcept { this->bucket.record_first_attempt(); }
    /*! @brief Returns whether `try_spend` would succeed now. */
    [[nodiscard]] bool available() const noexcept { return this->bucket.available(); }
    /*! @brief Returns whether at least half of the capacity is saved; targets that are not suspect are hedged then. */
    [[nodiscard]] bool half_full() const noexcept { return this->bucket.half_full(); }
    /*! @brief Spends a token; returns false when there is none. */
    [[nodiscard]] bool try_spend() noexcept { return this->bucket.try_spend(); }

private:
    internal::share_bucket bucket;
};

} // namespace mangopulley
