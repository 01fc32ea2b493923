#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "../catalogue/catalogue_follower.hpp"
#include "../core/kernel.hpp"
#include "../peer/fwd.hpp"
#include "fwd.hpp"
#include "heartbeat.hpp"
#include "task_runner.hpp"

namespace mangopulley {

/*! @brief Period of heartbeats. */
inline constexpr milliseconds heartbeat_period{500};

/*! @brief Demands for services that an instance stated. */
struct instance_demands {
    incarnation_id incarnation{};
    /*! @brief Time since they were stated. */
    duration age{};
    std::vector<service_demand> demands{};
};

/**
 * @brief Exchanges heartbeats with peers and keeps the member table, the standing and the catalogue up to date by them.
 *
 * The work of a tick does not depend on the size of the fleet: two live peers in rotation, and one endpoint that is
 * listed but not live. Handlers and functions can be called from any thread.
 */
class heartbeat_service final : public plugin {
public:
    /*! @brief Parts that the service works with; all must outlive it. */
    struct parts {
        const clock& time;
        member_table& members;
        standing& proof;
        document_holder& holder;
        catalogue_follower& follower;
        drain_notices& draining;
        peer_transport& transport;
        task_runner& runner;
    };

    /**
     * @brief Prepares the service.
     * @param environment Parts.
     * @param demands Returns the demands of this instance for services, the largest first.
     * @param seed Seed of the order in which peers are called.
     */
    heartbeat_service(const parts& environment, std::function<std::vector<service_demand>()> demands,
                      std::uint64_t seed);
    ~heartbeat_service() override;

    [[nodiscard]] std::string_view name() const noexcept override;
    /*! @brief Calls `tick` and `standing::tick` at their periods until `stop`. */
    void start() override;
    void stop() noexcept override;

    /*! @brief Sends heartbeats to the next peers. */
    void tick();
    /*! @brief Sends heartbeats to a few peers at once, after a change that others must learn of soon. */
    void push();
    /*! @brief Marks this instance as leaving and tells a few peers at once. */
    void announce_leaving();
    /*! @brief Records that a target is draining and tells a few peers at once when that is new. */
    void announce_drain(std::string_view target);

    /*! @brief Handlers for `peer_server`. */
    [[nodiscard]] std::optional<std::string> on_heartbeat(std::string_view body);
    [[nodiscard]] std::optional<std::string> on_member_pull(std::string_view body) const;
    [[nodiscard]] std::optional<std::string> on_catalogue_pull(std::string_view body) const;
    [[nodiscard]] std::optional<std::string> on_instances_pull(std::string_view body) const;
    [[nodiscard]] std::optional<std::string> on_drain_notice(std::string_view body);

    /*! @brief Returns the latest demands of the members that are not dead, this instance excluded. */
    [[nodiscard]] std::vector<instance_demands> demands() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
