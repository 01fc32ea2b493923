#pragma once

#include <optional>
#include <string>
#include <unordered_map>

#include "routing_config.hpp"
#include "usual_patience.hpp"

namespace mangopulley {

/*! @brief What was learned of the times of each route: how long its work takes and how long its callers wait. */
class route_times {
public:
    /**
     * @brief Prepares an empty table.
     * @param first_share Share of the latency goal that the work of an unknown route is assumed to take.
     */
    explicit route_times(double first_share) noexcept : first_work_share{first_share} {}

    /*! @brief Returns the usual time of a route's work on a host at its usual pace. */
    [[nodiscard]] duration usual_work(const route& selected) const;
    /**
     * @brief Learns from an answer.
     * @param selected Route.
     * @param taken Time from the send to the answer.
     * @param slowness Slowness that was expected of the target.
     */
    void learn_work(const route& selected, duration taken, double slowness);
    /*! @brief Returns how long a caller has waited with earlier attempts, judged by the time it has left. */
    [[nodiscard]] duration spent_before(const route& selected, std::optional<duration> time_left);

private:
    double first_work_share;
    std::unordered_map<std::string, duration> work{};
    std::unordered_map<std::string, usual_patience> patience{};
};

} // namespace mangopulley
