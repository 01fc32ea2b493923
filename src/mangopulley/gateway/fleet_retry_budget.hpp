#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "../core/fwd.hpp"

namespace mangopulley {

/*! @brief Limit on retries to one service, over all instances together. */
struct retry_limits {
    /*! @brief Retries allowed per request. */
    double ratio{0.2};
    /*! @brief Additional retries allowed per window, over all instances together. */
    double slack{50.0};
    /*! @brief Length of the sliding window. */
    duration window{std::chrono::seconds{10}};
};

/**
 * @brief Limits the retries of one instance to one service, so that all instances together stay within the limits.
 *
 * An instance may use a share of the slack, plus the ratio of its own requests. A restarted instance does not know how
 * many retries it has already used; the share is therefore half of an equal share.
 */
class fleet_retry_budget {
public:
    /*! @brief Creates an unused budget. */
    explicit fleet_retry_budget(const retry_limits& bounds) noexcept : limits{bounds} {}

    /*! @brief Replaces the limits and sets the number of instances that share the slack. */
    void configure(const retry_limits& bounds, std::size_t instance_count) noexcept;
    /*! @brief Counts a new request, not its retries. */
    void count_request(time_point now) noexcept;
    /**
     * @brief Reserves one retry.
     * @return False when the retry would exceed the share of this instance.
     */
    [[nodiscard]] bool try_take(time_point now) noexcept;

private:
    struct bucket {
        std::int64_t index{-1};
        std::uint32_t requests{};
        std::uint32_t retries{};
    };
    static constexpr std::size_t buckets_per_window = 10U;

    [[nodiscard]] bucket& bucket_at(time_point now) noexcept;

    retry_limits limits;
    std::size_t instances{1U};
    std::array<bucket, buckets_per_window + 1U> buckets{};
};

} // namespace mangopulley
