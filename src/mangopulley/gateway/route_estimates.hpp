#pragma once

#include <optional>
#include <string>
#include <unordered_map>

#include "routing_config.hpp"
#include "timeout_estimator.hpp"

namespace mangopulley {

/*! @brief Estimates, for each route, the processing time of its requests and the typical timeout of its callers. */
class route_estimates {
public:
    /**
     * @brief Creates an empty table.
     * @param initial_share Share of the latency goal assumed as processing time of a route without observations.
     */
    explicit route_estimates(double initial_share) noexcept : initial_work_share{initial_share} {}

    /*! @brief Returns the estimated processing time of a route on a host without slowdown. */
    [[nodiscard]] duration expected_work(const route& selected) const;
    /**
     * @brief Updates the estimated processing time from a response.
     * @param selected Route.
     * @param elapsed Time from the sending of the request to the response.
     * @param slowdown Expected slowdown of the target when the request was sent.
     */
    void record_work(const route& selected, duration elapsed, double slowdown);
    /*! @brief Returns the time that a caller has spent on earlier attempts, estimated from the time it has left; zero
     * if that is unknown. */
    [[nodiscard]] duration spent_before(const route& selected, std::optional<duration> time_left);

private:
    double initial_work_share;
    std::unordered_map<std::string, duration> work{};
    std::unordered_map<std::string, timeout_estimator> timeouts{};
};

} // namespace mangopulley
