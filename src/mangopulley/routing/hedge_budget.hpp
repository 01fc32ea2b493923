#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>

#include "../core/fwd.hpp"

namespace mangopulley {

/*! @brief Limits of the hedges to one service. */
struct hedge_limits {
    /*! @brief Hedges allowed per first attempt. */
    double share{0.05};
    /*! @brief Maximum number of saved hedges. */
    double burst{50.0};
    /*! @brief Length of the sliding window in which hedges stay within their share of the first attempts; zero: saved
     * hedges do not expire. */
    duration window{duration::zero()};
};

/**
 * @brief Limits the hedges of one process to one service to a share of its first attempts.
 *
 * In any interval, the hedges are at most their share of the first attempts in it plus the burst. In the window that
 * ends with a hedge they are at most their share of the first attempts in it. A new budget is empty, so processes that
 * restart do not exceed the share together. Thread-safe.
 */
class hedge_budget {
public:
    explicit hedge_budget(const hedge_limits& bounds = {}) noexcept;
    hedge_budget(const hedge_budget&) = delete;
    hedge_budget& operator=(const hedge_budget&) = delete;
    ~hedge_budget() = default;

    /*! @brief Replaces the limits; what was counted so far stays counted. */
    void configure(const hedge_limits& bounds) noexcept;
    /*! @brief Counts a first attempt and earns its share of a hedge. */
    void record_first_attempt(time_point now) noexcept;
    /*! @brief Returns whether `try_spend` would succeed now. */
    [[nodiscard]] bool available(time_point now) const noexcept;
    /*! @brief Returns whether at least half of the burst is saved; targets that are not suspect are hedged then. */
    [[nodiscard]] bool half_full() const noexcept;
    /*! @brief Spends a hedge; returns false when there is none. */
    [[nodiscard]] bool try_spend(time_point now) noexcept;

private:
    /*! @brief Part of the window. */
    struct slice {
        std::int64_t index{-1};
        std::uint64_t first_attempts{};
        std::uint64_t hedges{};
    };
    static constexpr std::size_t slices_per_window = 20U;

    [[nodiscard]] std::int64_t slice_index(time_point now) const noexcept;
    [[nodiscard]] slice& slice_at(time_point now) noexcept;
    [[nodiscard]] bool within_window(time_point now) const noexcept;
    [[nodiscard]] bool can_spend(time_point now) const noexcept;

    mutable std::mutex guard{};
    /*! @brief Amounts in millionths of a hedge, so that many small shares add up exactly. */
    std::int64_t earned_per_first_attempt{};
    std::int64_t capacity{};
    std::int64_t balance{};
    duration slice_length{};
    /*! @brief One more than a window has, since the oldest lies partly in it. */
    std::array<slice, slices_per_window + 1U> slices{};
};

} // namespace mangopulley
