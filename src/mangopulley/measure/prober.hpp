#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "../catalogue/catalogue_holder.hpp"
#include "../core/clock.hpp"
#include "../core/kernel.hpp"
#include "../lease/fwd.hpp"
#include "../target/target_client.hpp"
#include "fwd.hpp"

namespace mangopulley {

/*! @brief Timeout of a probe; requests take milliseconds, so a later load report would be of no use. */
inline constexpr milliseconds probe_timeout{100};

/**
 * @brief Probes targets without recent traffic while this instance holds the lease `probe/<service>`.
 *
 * One thread handles the leases and the probes. A holder that was frozen between its last lease check and sending a
 * probe therefore sends at most one late probe, for which the budget of the next holder keeps a reserve.
 */
class prober final : public plugin {
public:
    /*! @brief Collaborators of the prober; all must outlive it. */
    struct dependencies {
        const clock& time;
        target_client& targets;
        lease_manager& leases;
        const catalogue_holder& holder;
    };

    /*! @brief Callbacks that connect the prober to the routing of requests. */
    struct callback_set {
        /*! @brief Returns whether this instance should probe the targets of a service because it is the service's
         * primary. */
        std::function<bool(std::string_view service)> is_primary{};
        /*! @brief Returns the endpoints of a service's targets that had no recent traffic. */
        std::function<std::vector<std::string>(std::string_view service)> idle_targets{};
        /*! @brief Called with the load report of each successful probe. */
        std::function<void(std::string_view service, std::string_view endpoint, const load_report& load)> report{};
    };

    /**
     * @brief Creates a stopped prober.
     * @param collaborators Objects that the prober uses.
     * @param functions Callbacks; none may be empty.
     */
    prober(const dependencies& collaborators, callback_set functions);
    ~prober() override;

    [[nodiscard]] std::string_view name() const noexcept override;
    void start() override;
    void stop() noexcept override;

    /*! @brief Acquires, renews or releases leases as due and sends at most one probe per service. */
    void step();

    /*! @brief Number of probes sent. */
    [[nodiscard]] std::uint64_t sent() const noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
