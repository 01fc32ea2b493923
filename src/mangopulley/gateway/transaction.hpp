#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "async_http_server.hpp"
#include "dialect.hpp"
#include "hedge_policy.hpp"
#include "request_scheduler.hpp"
#include "routing_config.hpp"

namespace mangopulley::internal {

struct transaction;

/*! @brief Entry of a transaction in the queue of its service. */
struct queue_entry final : waiting_request {
    std::shared_ptr<transaction> owner{};
};

/*! @brief Attempt to execute a transaction's request at a target. */
struct attempt {
    std::uint64_t number{};
    target_pool::handle target{};
    std::unique_ptr<http_channel> channel{};
    /*! @brief Whether the connection carried earlier exchanges. */
    bool reused_connection{};
    time_point sent_at{};
    /*! @brief Expected slowdown of the target when it was chosen. */
    double slowdown{1.0};
    /*! @brief Age of the load reading behind `slowdown`. */
    duration reading_age{};
    /*! @brief Expected response time. */
    duration expected{};
    /*! @brief Whether it is a hedge of another open attempt. */
    bool hedge{};
};

/*! @brief What became of the hedge of a transaction. */
enum class hedge_state : std::uint8_t {
    none,
    withheld,
    sent,
    /*! @brief It responded first. */
    won,
    /*! @brief It was cancelled because the first attempt responded. */
    cancelled
};

/*! @brief Caller's request from its arrival to its response. */
struct transaction {
    std::shared_ptr<http_server_exchange> exchange{};
    request_metadata metadata{};
    std::shared_ptr<const routing_config> config{};
    /*! @brief Points into `config`. */
    const route* matched_route{};
    /*! @brief Caller's team; points into `config`, null if it has none. */
    const team_config* team{};
    /*! @brief Whether the request counts in its team's quota, until it is known that no target executed it. */
    bool counted_in_quota{};
    std::string service{};
    time_point arrived{};
    /*! @brief Time until which a response meets the latency goal, which is counted from the caller's first attempt. */
    time_point latency_goal{};
    time_point deadline{};
    /*! @brief Attempts so far, without those that failed to connect. */
    std::uint32_t attempt_count{};
    std::uint32_t failed_connects{};
    std::vector<std::string> tried_targets{};
    /*! @brief Connection of each attempt, for the log: endpoint and whether the connection carried requests before. */
    std::vector<std::string> tried_connections{};
    std::vector<attempt> open_attempts{};
    std::vector<std::shared_ptr<queue_entry>> queue_entries{};
    /*! @brief Whether a part of the body that is no longer held went to a target; the request cannot be sent again. */
    bool body_passed_on{};
    /*! @brief Attempts that may have been executed: all that were sent, until one proves that it was not. */
    std::uint32_t possible_executions{};
    /*! @brief Whether a target rejected the request although it reported a free slot. */
    bool rejected_by_free_target{};
    /*! @brief Whether a target rejected the request while it had no free slot, or did not report its load. */
    bool rejected_by_full_target{};
    bool finished{};
    /*! @brief Error response of a target, forwarded when no other attempt succeeds. */
    std::optional<http_response> fallback_response{};
    std::string answered_by{};
    duration retry_after{};
    std::string cause{};
    time_point first_sent_at{};
    double first_slowdown{};
    duration first_reading_age{};
    timer_id deadline_timer{};
    timer_id hedge_timer{};
    hedge_state hedge{hedge_state::none};
    /*! @brief Last reason why the hedge was withheld. */
    hedge_obstacle hedge_withheld{};
};

} // namespace mangopulley::internal
