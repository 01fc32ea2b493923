#pragma once

#include <array>
#include <cstddef>

#include "../core/fwd.hpp"

namespace mangopulley {

/**
 * @brief Quantiles of the most recent response times of one kind of request.
 *
 * The quantile estimators of Boost.Accumulators never discard a sample; a sliding window follows changing load.
 */
class response_times {
public:
    /*! @brief Records the time of a complete response. */
    void record(duration sample) noexcept;

    /*! @brief Returns whether there are enough samples to base decisions on. */
    [[nodiscard]] bool known() const noexcept { return this->count >= min_samples; }
    /*! @brief Returns the median; zero before the first sample. */
    [[nodiscard]] duration median() const noexcept { return this->cached_median; }
    /*! @brief Returns the 95th percentile; zero before the first sample. */
    [[nodiscard]] duration percentile_95() const noexcept { return this->cached_percentile_95; }

    /**
     * @brief Returns the age at which a request in flight makes its target suspect.
     *
     * It is 3 times the median. When response times vary so much that this is common (12% of the responses if they are
     * exponentially distributed), it is 1.5 times the 90th percentile, at most 8 times the median.
     *
     * @return The age, at least 2 ms so that scheduling delays of this process make no target suspect; the maximum
     * while `known` is false.
     */
    [[nodiscard]] duration suspect_threshold() const noexcept;

private:
    static constexpr std::size_t window = 256U;
    static constexpr std::size_t min_samples = 16U;

    void refresh() noexcept;

    std::array<duration::rep, window> samples{};
    std::size_t count{};
    std::size_t next{};
    duration cached_median{};
    duration cached_percentile_90{};
    duration cached_percentile_95{};
};

} // namespace mangopulley
