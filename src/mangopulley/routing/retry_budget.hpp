#pragma once

#include <cstdint>

#include "fwd.hpp"
#include "share_bucket.hpp"

namespace mangopulley {

/*! @brief Bounds retries to a share of the first tries of one service, so that a fault of its targets starts no storm.
 */
class retry_budget {
public:
    /**
     * @brief Prepares a budget.
     * @param share Tokens earned by each first try.
     * @param burst Tokens that can be saved at most.
     * @param initial Tokens at the start.
     */
    explicit retry_budget(const double share = 0.10, const std::uint32_t burst = 50U,
                          const std::uint32_t initial = 0U) noexcept
        : bucket{share, burst, initial} {}

    /*! @brief Counts a first try. */
    void first_try() noexcept { this->bucket.first_try(); }
    /*! @brief Tells whether `try_spend` would succeed now. */
    [[nodiscard]] bool available() const noexcept { return this->bucket.available(); }
    /*! @brief Takes a token; false when there is none. */
    [[nodiscard]] bool try_spend() noexcept { return this->bucket.try_spend(); }

private:
    internal::share_bucket bucket;
};

} // namespace mangopulley
