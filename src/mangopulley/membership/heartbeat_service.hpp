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

/*! @brief Demands for services that an instance advertised. */
struct instance_demands {
    incarnation_id incarnation{};
    /*! @brief Time since the instance advertised them. */
    duration age{};
    std::vector<service_demand> demands{};
};

/**
 * @brief Exchanges heartbeats with peers, and updates the member table, the freshness of the catalogue and the
 * catalogue from them.
 *
 * The work of a tick does not depend on the size of the fleet: it contacts two live peers in rotation, and one endpoint
 * that is known but not live. Handlers and functions are thread-safe.
 */
class heartbeat_service final : public plugin {
public:
    /*! @brief Dependencies of the service; all must outlive it. */
    struct dependencies {
        const clock& time;
        member_table& members;
        catalogue_freshness& freshness;
        catalogue_holder& catalogue;
        catalogue_follower& follower;
        drain_notices& draining;
        peer_transport& transport;
        task_runner& runner;
    };

    /**
     * @brief Creates the service without starting it.
     * @param injected Dependencies.
     * @param demands Returns the demands for services at this instance in descending order.
     * @param seed Seed of the random order in which peers are contacted.
     */
    heartbeat_service(const dependencies& injected, std::function<std::vector<service_demand>()> demands,
                      std::uint64_t seed);
    ~heartbeat_service() override;

    [[nodiscard]] std::string_view name() const noexcept override;
    /*! @brief Calls `tick` and `catalogue_freshness::tick` at their periods until `stop`. */
    void start() override;
    void stop() noexcept override;

    /*! @brief Sends heartbeats to the next peers, and recent drain notices to the live ones among them. */
    void tick();
    /*! @brief Sends heartbeats to a few random peers immediately, to propagate an urgent change. */
    void push();
    /*! @brief Marks this instance as leaving and notifies a few peers immediately. */
    void announce_leaving();
    /*! @brief Records that a target is draining and, if that is new, notifies a few peers immediately. */
    void announce_drain(std::string_view target);

    /*! @brief Message handlers for `peer_server`; each returns the reply, empty for a malformed message. */
    [[nodiscard]] std::optional<std::string> on_heartbeat(std::string_view body);
    [[nodiscard]] std::optional<std::string> on_member_pull(std::string_view body) const;
    [[nodiscard]] std::optional<std::string> on_catalogue_pull(std::string_view body) const;
    [[nodiscard]] std::optional<std::string> on_instances_pull(std::string_view body) const;
    [[nodiscard]] std::optional<std::string> on_drain_notice(std::string_view body);

    /*! @brief Returns the latest demands of the other members that are not dead. */
    [[nodiscard]] std::vector<instance_demands> demands() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
