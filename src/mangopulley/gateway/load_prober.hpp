#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "channel_pool.hpp"
#include "dialect.hpp"
#include "target_pool.hpp"

namespace mangopulley {

/*! @brief Probes targets for health and load over pooled connections. */
class load_prober {
public:
    /*! @brief Result of a probe. */
    struct probe_result {
        /*! @brief Whether the intended target responded. */
        bool reached{};
        /*! @brief Whether a reused connection tells nothing of the target: it broke, perhaps closed as idle, or another
         * target answered, perhaps a former process at the address. */
        bool inconclusive{};
        std::optional<load_reading> load{};
        target_advice advice{};
        /*! @brief How much longer the target stays cold, if it said so. */
        std::optional<duration> warm_up{};
        /*! @brief Id of the target that answered in its place; empty if none did. */
        std::string other_target{};
        duration elapsed{};
    };
    using completion = std::function<void(const probe_result& probed)>;

    load_prober(event_loop& loop, const dialect& wire_dialect, channel_pool& channels);
    load_prober(const load_prober&) = delete;
    load_prober& operator=(const load_prober&) = delete;
    ~load_prober();

    /**
     * @brief Sends one probe.
     * @param target Target; a response from another target at the same address is ignored.
     * @param path Health path of the service.
     * @param timeout Maximum time until the response.
     * @param done Called once, never before this function returns.
     */
    void probe(const listed_target& target, const std::string& path, duration timeout, completion done);

    /*! @brief Returns the number of probes sent so far. */
    [[nodiscard]] std::uint64_t sent() const noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
