#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "../observe/decision_log.hpp"
#include "../observe/metrics.hpp"
#include "caller_port.hpp"
#include "channel_pool.hpp"
#include "dialect.hpp"
#include "route_table.hpp"
#include "service_lines.hpp"

namespace mangopulley {

/*! @brief Constants of forwarding. */
struct forwarding_rule {
    /*! @brief A request that was never answered in its usual time is first assumed to take this share of its goal. */
    double first_work_share{0.3};
    /*! @brief An idempotent request is sent a second time after this multiple of its expected time. */
    double second_send_after{2.5};
    /*! @brief Shortest time before a second send. */
    duration least_second_send{std::chrono::milliseconds{60}};
    /*! @brief A target at work on a non-idempotent request whose caller left may finish within this time. */
    duration abandoned_time{std::chrono::seconds{3}};
};

/**
 * @brief Brings each request of a caller to a target and the whole answer back.
 *
 * A request is sent again only if its bytes provably did not run, or if it is idempotent, within the attempts of its
 * route and the budget of the fleet. A refusal that says *not run* is given only where that is proved.
 */
class forwarder {
public:
    /*! @brief Parts that the forwarder uses; all must outlive it. */
    struct parts {
        event_loop& loop;
        const dialect& speech;
        route_table& routes;
        metrics& numbers;
        decision_log& log;
    };

    forwarder(const parts& environment, const target_choice_rule& choice, const scheduling_rule& order,
              const forwarding_rule& bounds);
    forwarder(const forwarder&) = delete;
    forwarder& operator=(const forwarder&) = delete;
    ~forwarder();

    /*! @brief Answers a caller's request, at once or later. */
    void handle(const std::shared_ptr<caller_exchange>& exchange);
    /*! @brief Takes over the targets of all services. */
    void update_targets(const target_list& list);
    /*! @brief Replaces what other instances have in flight at a target, named by its key in `shared_load`. */
    void set_foreign(std::uint32_t key, std::uint32_t foreign);
    /*! @brief Sets what is called with a target's key and count when the own requests in flight there change. */
    void on_load_change(service_lines::load_listener action);
    /*! @brief Replaces the rule for second sends, the number of instances that share it, and the rate of probes. */
    void configure(const repeat_rule& repeats, std::size_t instances, double probes_per_target);

    /*! @brief Returns the number of requests received so far. */
    [[nodiscard]] std::uint64_t received() const noexcept;
    /*! @brief Returns the number of requests that have no answer yet. */
    [[nodiscard]] std::size_t open() const noexcept;
    /*! @brief Describes the services, targets and lines for the state dump. */
    [[nodiscard]] nlohmann::json describe() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
