#pragma once

#include <cstdint>

#include "fwd.hpp"
#include "share_bucket.hpp"

namespace mangopulley {

/*! @brief Limits the retries of one service to a share of its first attempts, so that failing targets cause no retry
 * storm. */
class retry_budget {
public:
    /**
     * @brief Creates a budget.
     * @param share Tokens earned by each first attempt.
     * @param burst Maximum number of saved tokens.
     * @param initial Tokens at the start.
     */
    explicit retry_budget(const double share = 0.10, const std::uint32_t burst = 50U,
                          const std::uint32_t initial = 0U) noexcept
        : bucket{share, burst, initial} {}

    /*! @brief Counts a first attempt and earns its share of a token. */
    void record_first_attempt() noexcept { this->bucket.record_first_attempt(); }
    /*! @brief Returns whether `try_spend` would succeed now. */
    [[nodiscard]] bool available() const noexcept { return this->bucket.available(); }
    /*! @brief Spends a token; returns false when there is none. */
    [[nodiscard]] bool try_spend() noexcept { return this->bucket.try_spend(); }

private:
    internal::share_bucket bucket;
};

} // namespace mangopulley
