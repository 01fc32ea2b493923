#pragma once

#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "../catalogue/catalogue_document.hpp"
#include "../core/clock.hpp"
#include "fwd.hpp"

namespace mangopulley {

/*! @brief Length of the sliding window to which the probe budget applies. */
inline constexpr milliseconds probe_window{1000};

/**
 * @brief Keeps the probes of one lease holder of a service within the budget.
 *
 * A probe arrives at the target at some time between `try_claim` and the time passed to `complete`. It therefore counts
 * against the budget from the former until a full window after the latter. Not thread-safe: the probes of a service are
 * sent one after another.
 */
class probe_budget {
public:
    /**
     * @brief Creates the budget of a new lease holder.
     * @param time Clock; must outlive the object.
     * @param from Time before which no probe is allowed: a full window after the lease was acquired, so that the last
     * probes of the previous holder no longer count.
     */
    probe_budget(const clock& time, const time_point from) : time_source{time}, allowed_from{from} {}

    /**
     * @brief Claims budget for a probe.
     * @param target Endpoint of the target.
     * @param limits Budget of the service.
     * @param reserve Probes reserved for previous holders that may still send one, per target and in total.
     * @return Whether the probe may be sent now.
     */
    [[nodiscard]] bool try_claim(std::string_view target, const measuring_budget& limits, std::size_t reserve);

    /**
     * @brief Completes the probe that was claimed last.
     * @param latest Latest time at which the target can have received the probe: the time of the response, or the
     * deadline of the probe if there was no response.
     */
    void complete(time_point latest);

private:
    struct claim {
        std::string target{};
        time_point until{};
    };

    void drop_expired(time_point now);

    const clock& time_source;
    time_point allowed_from;
    std::deque<claim> claims{};
    std::map<std::string, std::size_t, std::less<>> per_target{};
};

} // namespace mangopulley
