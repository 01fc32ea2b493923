#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "../core/fwd.hpp"

namespace mangopulley {

/*! @brief Bound of second sends to one service, over all instances together. */
struct repeat_rule {
    /*! @brief Second sends allowed for each request. */
    double ratio{0.2};
    /*! @brief Second sends allowed besides, in each window, by all instances together. */
    double slack{50.0};
    /*! @brief Length of the sliding window. */
    duration window{std::chrono::seconds{10}};
};

/**
 * @brief Counts the second sends of one instance to one service, so that all instances keep the rule together.
 *
 * Every instance may use a share of the slack, and the ratio of its own requests. A new incarnation does not know what
 * the last one spent; the share is therefore half of an equal part.
 */
class repeat_budget {
public:
    /*! @brief Prepares an unused budget. */
    explicit repeat_budget(const repeat_rule& bounds) noexcept : rule{bounds} {}

    /*! @brief Replaces the rule and the number of instances that share the slack. */
    void configure(const repeat_rule& bounds, std::size_t sharing) noexcept;
    /*! @brief Counts the first send of a request. */
    void count_request(time_point now) noexcept;
    /**
     * @brief Takes the right for one second send.
     * @return False when it would exceed the share of this instance.
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
