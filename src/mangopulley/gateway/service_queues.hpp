#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "../observe/decision_log.hpp"
#include "../observe/metrics.hpp"
#include "channel_pool.hpp"
#include "dialect.hpp"
#include "fleet_retry_budget.hpp"
#include "hedge_policy.hpp"
#include "listed_target.hpp"
#include "request_scheduler.hpp"
#include "response_verdict.hpp"
#include "route_table.hpp"

namespace mangopulley {

/**
 * @brief Request queue, targets and retry budget of each service.
 *
 * Probes targets for the schedulers, periodically advances the schedulers while requests wait, and stores the
 * requests in flight that other instances advertise.
 */
class service_queues {
public:
    /*! @brief Response of a target as far as it concerns the target. */
    struct received_response {
        const response_metadata& metadata;
        internal::response_verdict verdict{};
        /*! @brief Whether its connection carried earlier exchanges and so may lead to a former process. */
        bool reused_connection{};
    };

    /*! @brief Dependencies; all must outlive this object. */
    struct dependencies {
        event_loop& loop;
        const dialect& wire_dialect;
        const route_table& routes;
        channel_pool& channels;
        metrics& metric_sink;
        decision_log& log;
    };
    /*! @brief Constants that apply to every service. */
    struct rules {
        target_choice_rule target_choice{};
        scheduling_rule scheduling{};
        /*! @brief Timeout of a probe. */
        duration probe_timeout{std::chrono::milliseconds{80}};
        /*! @brief Period at which the schedulers are advanced while requests wait. */
        duration advance_period{std::chrono::milliseconds{4}};
    };
    /*! @brief Callbacks of the schedulers; probes are sent by this class. */
    struct callbacks {
        std::function<void(const request_scheduler::request& item, const target_pool::handle& target)> send{};
        std::function<void(const request_scheduler::request& item, const refusal& why)> refuse{};
    };
    /*! @brief Request whose open attempt may be hedged. */
    struct hedge_request {
        /*! @brief Expected processing time on a host without slowdown. */
        duration work{};
        std::span<const std::string> tried{};
        /*! @brief Availability zone of the open attempt's target. */
        std::string_view zone{};
        bool body_held{};
        std::uint32_t attempts{};
        std::uint32_t max_attempts{};
        time_point deadline{};
    };
    /*! @brief Target of a hedge, or why there is none. */
    struct hedge_decision {
        /*! @brief Target, on which the request already counts as begun; null if the hedge is withheld. */
        target_pool::handle target{};
        hedge_obstacle why{};
    };
    /*! @brief Called when the number of requests that this instance has in flight at a target changes; the key
     * identifies the target in `shared_load`. */
    using load_listener = std::function<void(std::uint32_t key, std::uint32_t in_flight)>;

    service_queues(const dependencies& deps, rules bounds, callbacks hooks);
    service_queues(const service_queues&) = delete;
    service_queues& operator=(const service_queues&) = delete;
    ~service_queues();

    /*! @brief Replaces the targets of all services. */
    void update_targets(const target_list& list);
    /**
     * @brief Replaces the retry budget and the probe rate.
     * @param retries Limits of the retry budget.
     * @param instances Number of instances that share the budget.
     * @param probes_per_target Probes per second that this instance may send to one target.
     */
    void configure(const retry_limits& retries, std::size_t instances, double probes_per_target);
    /*!
     * @brief Sets the share of hedges.
     * @param extra_share Hedges allowed per request; 0 for none; nothing if only the retry budget limits them.
     */
    void limit_hedges(std::optional<double> extra_share);
    /*! @brief Limits the requests to cold targets by the rates of the configuration and the shares of this instance. */
    void limit_cold_targets(const warm_up_senders& senders);
    /*! @brief Replaces the evacuated zones, whose targets get nothing; waiting requests go elsewhere or are refused. */
    void evacuate(std::span<const std::string> zones);
    /*! @brief Sets the requests that other instances have in flight at a target, identified by its key in
     * `shared_load`. */
    void set_remote_in_flight(std::uint32_t key, std::uint32_t remote_in_flight);
    void on_load_change(load_listener listener);

    /*! @brief Counts a new request in the budget of its service. */
    void count_request(const std::string& service);
    /*! @brief Adds a request to the queue of its service. */
    void submit(const std::string& service, const request_scheduler::request& item);
    /*! @brief Removes a request from the queue of its service. */
    void withdraw(const std::string& service, const request_scheduler::request& item);
    /*! @brief Advances the scheduler of a service. */
    void advance(const std::string& service);
    /*! @brief Passes the requests in flight at a target to the load listener. */
    void notify_load(const pool_target& target) const;
    /**
     * @brief Ends a request at a target.
     * @param service Service.
     * @param target Target.
     * @param outcome How it ended.
     * @param load Load reading that came with the response.
     * @param elapsed Time since it was sent.
     */
    void end(const std::string& service, pool_target& target, send_outcome outcome,
             const std::optional<load_reading>& load, duration elapsed);
    /*! @brief Records what the response to a request says about its target: which requests it wants, or that another
     * one has its address. */
    void record_statements(const std::string& service, pool_target& target, const received_response& response);
    /*! @brief Reserves one retry; fails when no untried target is left or the budget is exhausted. */
    [[nodiscard]] bool try_take_retry(const std::string& service, std::span<const std::string> tried);
    /*! @brief Counts a request that is sent for the first time in the share of hedges. */
    void count_first_attempt(const std::string& service);
    /*! @brief Records the time of a complete response from which the delay of hedges is derived. */
    void record_response_time(const std::string& service, duration elapsed);
    /*! @brief Returns after which time an attempt is hedged; nothing while too few responses are known. */
    [[nodiscard]] std::optional<duration> hedge_delay(const std::string& service);
    /*! @brief Returns the interval at which a withheld hedge is considered again. */
    [[nodiscard]] duration hedge_recheck_period(const std::string& service);
    /*! @brief Decides whether an attempt older than `hedge_delay` is hedged now, and where. */
    [[nodiscard]] hedge_decision try_hedge(const std::string& service, const hedge_request& slow);
    /*! @brief Returns the factor by which processing at a target is expected to take longer than usual. */
    [[nodiscard]] double slowdown(const std::string& service, const pool_target& target);
    /*! @brief Returns how long a new request of a service is expected to wait for a slot. */
    [[nodiscard]] duration expected_wait(const std::string& service);
    /*! @brief Returns the time after which a caller may return if all targets are paused; nothing otherwise. */
    [[nodiscard]] std::optional<duration> pause_left(const std::string& service);

    /*! @brief Returns what `submit` would do with a request that came now; changes nothing. */
    [[nodiscard]] request_preview preview(const std::string& service, const waiting_request& item) const;
    [[nodiscard]] std::uint64_t probes() const noexcept;
    [[nodiscard]] nlohmann::json describe() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
