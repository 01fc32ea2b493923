#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "../core/clock.hpp"
#include "../core/fwd.hpp"

namespace mangopulley {

/**
 * @brief Counters, gauges and latency summaries of a process, readable in the Prometheus text format.
 *
 * Names carry their labels, such as `requests_total{service="proof"}`; the prefix `mangopulley_` is added on output.
 */
class metrics {
public:
    /*! @brief Prepares an empty set; the clock must outlive it. */
    explicit metrics(const clock& time);
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;
    ~metrics();

    /*! @brief Adds to a counter, which begins at zero. */
    void count(std::string_view name, std::uint64_t amount = 1U);

    /**
     * @brief Adds a length of time to a summary; quantiles cover the last full window of 10 s.
     * @param name Name with labels.
     * @param time Length of time.
     */
    void observe(std::string_view name, duration time);

    /*! @brief Sets the function that supplies a gauge whenever the metrics are read; it must be safe to call from any
     * thread. */
    void gauge(std::string_view name, std::function<double()> source);

    /*! @brief Returns the value of a counter, 0 when it was never counted. */
    [[nodiscard]] std::uint64_t value(std::string_view name) const;

    /*! @brief Returns all metrics in the Prometheus text format. */
    [[nodiscard]] std::string text() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
