#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "../observe/decision_log.hpp"
#include "../observe/metrics.hpp"
#include "async_http_server.hpp"
#include "channel_pool.hpp"
#include "dialect.hpp"
#include "request_explainer.hpp"
#include "route_table.hpp"
#include "service_queues.hpp"
#include "team_quotas.hpp"

namespace mangopulley {

/*! @brief Constants of forwarding. */
struct forwarding_rule {
    /*! @brief Assumed processing time of a route without any response yet, as a share of its latency goal. */
    double initial_work_share{0.3};
    /*! @brief An idempotent request is hedged after this multiple of its expected response time. */
    double hedge_delay_factor{2.5};
    /*! @brief Shortest delay before a hedged attempt. */
    duration min_hedge_delay{std::chrono::milliseconds{60}};
    /*! @brief Time in which a target may finish a non-idempotent request whose caller no longer waits. */
    duration abandoned_timeout{std::chrono::seconds{3}};
};

/*! @brief Times of a planned stop. */
struct stop_schedule {
    /*! @brief Until this time, requests are admitted even if their deadline lies beyond `last_response`. */
    time_point full_admission_end{};
    /*! @brief Time of the last responses; nothing is in flight afterwards. */
    time_point last_response{};
};

/**
 * @brief Forwards caller requests to targets and returns their responses.
 *
 * A request is retried only if it provably was not executed or if it is idempotent, and only within the attempt limit
 * of its route and the retry budget shared by all instances. A status that implies that the request was not executed is
 * returned only where that is proven.
 */
class forwarder {
public:
    /*! @brief Dependencies of the forwarder; all must outlive it. */
    struct dependencies {
        event_loop& loop;
        const dialect& wire_dialect;
        route_table& routes;
        metrics& metric_sink;
        decision_log& log;
        /*! @brief Quotas of the teams; null if they have none. */
        team_quotas* quotas{};
    };

    forwarder(const dependencies& deps, const target_choice_rule& target_choice, const scheduling_rule& scheduling,
              const forwarding_rule& constants);
    forwarder(const forwarder&) = delete;
    forwarder& operator=(const forwarder&) = delete;
    ~forwarder();

    /*! @brief Forwards a caller's request; the response is sent now or asynchronously. */
    void handle(const std::shared_ptr<http_server_exchange>& exchange);
    /*! @brief Returns whether a request may run at the same time as others of its connection: its route is idempotent.
     */
    [[nodiscard]] bool may_overlap(const http_request& request) const;
    /*! @brief Tells where a request would go now; changes nothing. */
    [[nodiscard]] explanation explain(const explained_request& question) const;
    /*! @brief Replaces the targets of all services. */
    void update_targets(const target_list& list);
    /*! @brief Sets the number of requests that other instances have in flight at a target, by its `shared_load` key. */
    void set_remote_in_flight(std::uint32_t key, std::uint32_t remote_in_flight);
    /*! @brief Sets the listener called with a target's key and this instance's in-flight count when it changes. */
    void on_load_change(service_queues::load_listener listener);
    /**
     * @brief Prepares for the end of the process.
     *
     * A request that may be in flight when the process ends is refused before it is sent to a target. Whatever is open
     * at the last response time is answered then: as not executed if it was not sent, as of unknown outcome otherwise.
     *
     * @param schedule Times of the stop.
     */
    void begin_stop(const stop_schedule& schedule);
    /**
     * @brief Replaces the retry budget and the probe rate.
     * @param retries Limits of the retry budget.
     * @param instances Number of instances that share the budget.
     * @param probes_per_target Probes per second that this instance may send to one target.
     */
    void configure(const retry_limits& retries, std::size_t instances, double probes_per_target);
    /*! @brief Limits the requests to cold targets by the rates of the configuration and the shares of this instance. */
    void limit_cold_targets(const warm_up_senders& senders);
    /*! @brief Replaces the evacuated zones, whose targets get nothing. */
    void evacuate(std::span<const std::string> zones);

    /*!
     * @brief Sets the share of hedges, second attempts beside a slow one.
     * @param extra_share Hedges allowed per request of a service; 0 for none; nothing for second attempts after a
     * multiple of the expected time, limited by the retry budget only.
     */
    void limit_hedges(std::optional<double> extra_share);

    /*! @brief Returns the number of requests received so far. */
    [[nodiscard]] std::uint64_t received() const noexcept;
    /*! @brief Returns the number of requests refused so far because they exceeded their team's quota. */
    [[nodiscard]] std::uint64_t over_quota() const noexcept;
    /*! @brief Returns the number of requests without a response yet. */
    [[nodiscard]] std::size_t open_requests() const noexcept;
    /*! @brief Describes the services, targets and queues for the state dump. */
    [[nodiscard]] nlohmann::json describe() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
