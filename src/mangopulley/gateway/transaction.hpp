#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "caller_port.hpp"
#include "dialect.hpp"
#include "request_scheduler.hpp"
#include "routing_config.hpp"

namespace mangopulley::internal {

struct transaction;

/*! @brief Place of a transaction in the line of its service. */
struct ticket final : waiting_request {
    std::shared_ptr<transaction> owner{};
};

/*! @brief One send of a transaction's request to one target. */
struct attempt {
    std::uint64_t number{};
    target_pool::handle target{};
    std::unique_ptr<http_channel> channel{};
    time_point begun{};
    /*! @brief Slowness of the target and age of the reading behind it when it was chosen. */
    double slowness{1.0};
    duration reading_age{};
    duration expected{};
};

/*! @brief Request of a caller from its arrival to its answer. */
struct transaction {
    std::shared_ptr<caller_exchange> exchange{};
    request_facts facts{};
    std::shared_ptr<const routing_config> config{};
    /*! @brief Points into `config`. */
    const route* selected{};
    std::string service{};
    time_point arrived{};
    /*! @brief An answer until then earns its full worth, counted from the caller's first attempt. */
    time_point goal{};
    time_point deadline{};
    std::uint32_t sends{};
    std::uint32_t failed_connects{};
    std::vector<std::string> tried{};
    std::vector<attempt> open{};
    std::vector<std::shared_ptr<ticket>> queued{};
    /*! @brief Whether a target may have run the request. */
    bool may_have_run{};
    bool finished{};
    /*! @brief Failure of a target, delivered when no other attempt succeeds. */
    std::optional<http_response> fallback{};
    std::string answered_by{};
    duration retry_after{};
    std::string cause{};
    time_point first_sent{};
    double first_slowness{};
    duration first_reading_age{};
    timer_id deadline_timer{};
    timer_id second_send_timer{};
};

} // namespace mangopulley::internal
