#pragma once

#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "../catalogue/document.hpp"
#include "../core/clock.hpp"
#include "fwd.hpp"

namespace mangopulley {

/*! @brief Length of the window in which the budget of probes counts. */
inline constexpr milliseconds probe_window{1000};

/**
 * @brief Keeps the probes of one holder of a service's lease within the budget.
 *
 * A probe arrives at the target at some time between `try_begin` and the time given to `settle`, so it counts from the
 * one until a whole window after the other. Not thread-safe: probes of a service are serial.
 */
class probe_budget {
public:
    /**
     * @brief Starts a tenure.
     * @param time Clock; must outlive the object.
     * @param from Time before which no probe is allowed: a whole window after the lease was taken, so that the last
     * probes of the former holder no longer count.
     */
    probe_budget(const clock& time, const time_point from) : source{time}, allowed_from{from} {}

    /**
     * @brief Claims a probe.
     * @param target Target.
     * @param limits Budget of the service.
     * @param reserve Probes left to former holders that may still send one, for each target and in total.
     * @return Whether the probe may be sent now.
     */
    [[nodiscard]] bool try_begin(std::string_view target, const measuring_budget& limits, std::size_t reserve);

    /**
     * @brief Ends the probe claimed last.
     * @param latest Latest time at which the target can have received it: of its answer, or its deadline without one.
     */
    void settle(time_point latest);

private:
    struct claim {
        std::string target{};
        time_point until{};
    };

    void drop_old(time_point now);

    const clock& source;
    time_point allowed_from;
    std::deque<claim> claims{};
    std::map<std::string, std::size_t, std::less<>> per_target{};
};

} // namespace mangopulley
