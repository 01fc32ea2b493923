#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "../core/fwd.hpp"

namespace mangopulley {

/*! @brief Limit on retries to one service, over all instances together. */
struct repeat_rule {
    /*! @brief Retries allowed per request. */
    double ratio{0.2};
    /*! @brief Additional retries allowed per window, over all instances together. */
    double slack{50.0};
    /*! @brief Length of the sliding window. */
    duration window{std::chrono::seconds{10}};
};

/**
 * @brief Limits the retries of one instance to one service, so that all instances together stay within the rule.
 *
 * Every instance may use a share of the slack, and the ratio of its own requests. A restarted instance does not know
 * what it spent before; the share is therefore half of an equal part.
 */
class repeat_budget {
public:
    /*! @brief Creates an unused budget. */
    explicit repeat_budget(const repeat_rule& bounds) noexcept : rule{bounds} {}

    /*! @brief Replaces the rule and the number of instances that share the slack. */
    void configure(const repeat_rule& bounds, std::size_t sharing) noexcept;
    /*! @brief Counts the first send of a request. */
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
        std::uint32_t repeats{};
    };
    static constexpr std::size_t buckets_per_window = 10U;

    [[nodiscard]] bucket& at(time_point now) noexcept;

    repeat_rule rule;
    std::size_t instances{1U};
    std::array<bucket, buckets_per_window + 1U> buckets{};
};

} // namespace mangopulley
