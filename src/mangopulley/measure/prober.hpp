#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "../catalogue/document_holder.hpp"
#include "../core/clock.hpp"
#include "../core/kernel.hpp"
#include "../lease/fwd.hpp"
#include "../target/target_client.hpp"
#include "fwd.hpp"

namespace mangopulley {

/*! @brief Longest time for an answer to a probe; a later load report is of no use for requests of milliseconds. */
inline constexpr milliseconds probe_timeout{100};

/**
 * @brief Probes targets without recent traffic while this instance holds the lease `probe/<service>`.
 *
 * Leases and probes are handled by one thread. A holder that was frozen between its last check and the sending of a
 * probe therefore sends at most one late probe, which the budget of the next holder leaves room for.
 */
class prober final : public plugin {
public:
    /*! @brief Parts that the prober works with; all must outlive it. */
    struct parts {
        const clock& time;
        target_client& targets;
        lease_manager& leases;
        const document_holder& holder;
    };

    /*! @brief What other parts tell the prober and learn from it. */
    struct hooks {
        /*! @brief Tells whether this instance should measure a service, as its lead does. */
        std::function<bool(std::string_view service)> wanted{};
        /*! @brief Returns the endpoints of the targets of a service without recent traffic. */
        std::function<std::vector<std::string>(std::string_view service)> idle_targets{};
        /*! @brief Receives the answer of a probe. */
        std::function<void(std::string_view service, std::string_view endpoint, const load_report& load)> report{};
    };

    prober(const parts& environment, hooks connections);
    ~prober() override;

    [[nodiscard]] std::string_view name() const noexcept override;
    void start() override;
    void stop() noexcept override;

    /*! @brief Takes, renews or gives up leases as due and sends at most one probe per service. */
    void step();

    /*! @brief Probes sent since the start. */
    [[nodiscard]] std::uint64_t sent() const noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
