#pragma once

#include <cstdint>

#include "fwd.hpp"
#include "share_bucket.hpp"

namespace mangopulley {

/*! @brief Bounds second attempts at slow requests to a share of the first tries of one service. */
class hedge_budget {
public:
    /**
     * @brief Prepares an empty budget.
     * @param share Tokens earned by each first try.
     * @param burst Tokens that can be saved at most.
     */
    explicit hedge_budget(const double share = 0.05, const std::uint32_t burst = 50U) noexcept
        : bucket{share, burst, 0U} {}

    /*! @brief Counts a first try. */
    void first_try() noexcept { this->bucket.first_try(); }
    /*! @brief Tells whether `try_spend` would succeed now. */
    [[nodiscard]] bool available() const noexcept { return this->bucket.available(); }
    /*! @brief Tells whether enough is saved to hedge requests on targets that are not suspect. */
    [[nodiscard]] bool plentiful() const noexcept { return this->bucket.half_full(); }
    /*! @brief Takes a token; false when there is none. */
    [[nodiscard]] bool try_spend() noexcept { return this->bucket.try_spend(); }

private:
    internal::share_bucket bucket;
};

} // namespace mangopulley
