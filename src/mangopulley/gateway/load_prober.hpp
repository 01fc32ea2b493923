#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "channel_pool.hpp"
#include "dialect.hpp"
#include "target_pool.hpp"

namespace mangopulley {

/*! @brief Asks targets for their health and load over the kept connections. */
class load_prober {
public:
    /*! @brief Answer to a probe. */
    struct answer {
        /*! @brief Whether the target that was meant has answered at all. */
        bool reached{};
        /*! @brief Whether a kept connection broke, which may only mean that the target had closed it for idling. */
        bool inconclusive{};
        std::optional<load_reading> load{};
        duration taken{};
    };
    using completion = std::function<void(const answer& seen)>;

    load_prober(event_loop& loop, const dialect& speech, channel_pool& channels);
    load_prober(const load_prober&) = delete;
    load_prober& operator=(const load_prober&) = delete;
    ~load_prober();

    /**
     * @brief Sends one probe.
     * @param target Target; an answer from another one at the same address does not count.
     * @param path Health path of the service.
     * @param timeout Longest time for the answer.
     * @param done Called once, never before this call returns.
     */
    void probe(const listed_target& target, const std::string& path, duration timeout, completion done);

    /*! @brief Returns the number of probes sent so far. */
    [[nodiscard]] std::uint64_t sent() const noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
