#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>

#include "../core/fwd.hpp"
#include "../routing/hedge_budget.hpp"
#include "../routing/response_times.hpp"
#include "fleet_retry_budget.hpp"

namespace mangopulley {

/*! @brief Why a hedge is withheld. */
enum class hedge_obstacle : std::uint8_t {
    /*! @brief Too few responses of the service are known to tell a slow one. */
    unknown_times,
    /*! @brief The body is not held, so it cannot be sent again. */
    body,
    /*! @brief The route allows no further attempt. */
    attempts,
    /*! @brief No response could arrive before the deadline. */
    deadline,
    /*! @brief The service has too many busy slots. */
    near_full,
    /*! @brief No other target has a free slot. */
    no_target,
    /*! @brief The share of hedges is used up. */
    share,
    /*! @brief The retry budget is used up. */
    retry_budget
};

/*! @brief Returns the label of an obstacle in log lines and metrics. */
[[nodiscard]] std::string_view name_of(hedge_obstacle why) noexcept;
/*! @brief Returns whether an obstacle may be gone later in the life of the same request. */
[[nodiscard]] bool may_pass(hedge_obstacle why) noexcept;

/*! @brief Constants of hedging. */
struct hedge_rule {
    /*! @brief Shortest delay, so that scheduling delays of this process cause no hedge. */
    duration min_delay{std::chrono::milliseconds{5}};
    /*! @brief Shortest delay as a multiple of the median: where response times vary little, an attempt beyond the 95th
     * percentile ends before a hedge could respond. */
    double min_median_factor{1.5};
    /*! @brief Interval at which a withheld hedge is considered again. */
    duration recheck_period{std::chrono::milliseconds{20}};
    /*! @brief No hedge is sent while more than this share of the service's slots is busy. */
    double max_busy_share{0.7};
    /*! @brief Hedges that all instances together may have saved. */
    double fleet_burst{10.0};
    /*! @brief Part of the share that is used; the rest covers hedges that were saved before the load fell. */
    double usable_share{0.9};
};

/*! @brief Request with one open attempt whose hedge is due, and the state of its service. */
struct hedge_candidate {
    bool body_held{};
    std::uint32_t attempts{};
    std::uint32_t max_attempts{};
    duration time_left{};
    /*! @brief Shortest time in which a target may respond. */
    duration shortest_response{};
    /*! @brief Share of the service's slots that requests of all instances occupy. */
    double busy_share{};
    /*! @brief Whether requests wait for a slot. */
    bool others_wait{};
};

/**
 * @brief Decides when an attempt counts as slow and whether a hedge is sent, for one service on one instance.
 *
 * The delay is the 95th percentile of the service's recent response times, or 1.5 times their median if that is more.
 * An attempt that was cancelled because
 * another one responded first counts with the time that it had taken: without it, the times of slow responses would
 * be missing and the delay would sink with each hedge. Uses no network or clock of its own.
 */
class hedge_policy {
public:
    explicit hedge_policy(const hedge_rule& constants = {}) noexcept : rule{constants} {}

    /**
     * @brief Replaces the limits; what was counted so far stays counted.
     * @param extra_share Hedges allowed per request; 0 for none.
     * @param instances Number of instances that share the burst.
     * @param window Length of the window that the share applies to.
     */
    void configure(double extra_share, std::size_t instances, duration window) noexcept;
    /*! @brief Counts a request that was sent for the first time. */
    void record_request(time_point now) noexcept;
    /*! @brief Records the time of a complete response, or of an attempt cancelled because another one responded. */
    void record_time(duration elapsed) noexcept;

    /*! @brief Returns after which time an attempt is hedged and counts as late; nothing while too few responses are
     * known. */
    [[nodiscard]] std::optional<duration> delay() const noexcept;
    /*! @brief Returns the interval at which a withheld hedge is considered again. */
    [[nodiscard]] duration recheck_period() const noexcept { return this->rule.recheck_period; }
    /**
     * @brief Decides whether to send a hedge and charges it to the share and to the retry budget.
     * @param candidate Request whose attempt is older than `delay`.
     * @param retries Retry budget of the service.
     * @param find_target Returns whether another target has a free slot; called only if nothing else stands in the way.
     * @param now Current time.
     * @return Why it is withheld; nothing if it is to be sent.
     */
    [[nodiscard]] std::optional<hedge_obstacle> decide(const hedge_candidate& candidate, fleet_retry_budget& retries,
                                                       const std::function<bool()>& find_target, time_point now);

private:
    [[nodiscard]] std::optional<hedge_obstacle> find_obstacle(const hedge_candidate& candidate,
                                                              time_point now) const noexcept;

    hedge_rule rule;
    hedge_budget budget{hedge_limits{0.0, 0.0, duration::zero()}};
    response_times times{};
};

} // namespace mangopulley
