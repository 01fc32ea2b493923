#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "../core/clock.hpp"
#include "../core/error.hpp"
#include "../core/incarnation_id.hpp"
#include "../store/fwd.hpp"
#include "fwd.hpp"

namespace mangopulley {

/*! @brief Durations that govern a lease. */
struct lease_timing {
    /*! @brief Time for which one write grants the lease. */
    milliseconds duration{6000};
    /*! @brief Additional time that an observer waits before a takeover; covers clocks that run at different rates. */
    milliseconds takeover_margin{500};
    /*! @brief Time after which a former holder whose lease lapsed is no longer expected to resume; the platform
     * replaces an instance that is unresponsive for this long. */
    milliseconds max_freeze{600'000};
};

/*! @brief Lease as granted to this instance. */
struct lease_grant {
    /*! @brief Fencing token; higher than that of every earlier tenure. */
    std::uint64_t fence{};
    /*! @brief End of the grant on this instance's monotonic clock. */
    time_point until{};
    /*! @brief Number of former holders whose leases lapsed; each may be frozen and act once more when it resumes. */
    std::size_t lapsed{};
};

/*! @brief Reason why a lease was not acquired or released. */
struct lease_error {
    enum class code : std::uint8_t {
        /*! @brief Another incarnation holds the lease, or may still hold it as far as this instance has observed. */
        held_elsewhere,
        /*! @brief A concurrent write won, as the next attempt will see, or the lease ended before the response arrived.
         */
        lost_race,
        /*! @brief Another thread of this process is working on the same lease. */
        busy,
        /*! @brief The lease object cannot be parsed; an operator must repair it. */
        malformed
    };

    code code{code::held_elsewhere};
    std::string name{};
    /*! @brief Holder according to the store; zero if there is none. */
    incarnation_id holder{};
};

/**
 * @brief Acquires, renews and releases leases in the store; thread-safe.
 *
 * The holder measures the duration from before it sent its request. An observer takes a lease over only after it has
 * seen the same version for the duration and a margin on its own clock.
 */
class lease_manager {
public:
    /**
     * @brief Creates the object; makes no call to the store.
     * @param time Clock; must outlive this object.
     * @param store Store; must outlive this object.
     * @param own Incarnation of this process.
     * @param timing Durations.
     * @param generate_write_id Source of random ids by which this instance identifies its own writes.
     */
    lease_manager(const clock& time, store_client& store, incarnation_id own, lease_timing timing,
                  std::function<std::uint64_t()> generate_write_id);
    lease_manager(const lease_manager&) = delete;
    lease_manager& operator=(const lease_manager&) = delete;
    ~lease_manager();

    /*! @brief Returns the durations in use. */
    [[nodiscard]] const lease_timing& timing() const noexcept;

    /**
     * @brief Acquires or renews a lease; makes up to three calls to the store.
     * @param name Name of the lease.
     * @return The grant, or `lease_error` or `store_error`. After an error the grant of an earlier call may still be
     * valid.
     */
    [[nodiscard]] result<lease_grant> acquire(std::string_view name);

    /*! @brief Returns the grant while it is valid; makes no call to the store. */
    [[nodiscard]] std::optional<lease_grant> current_grant(std::string_view name) const;

    /**
     * @brief Releases a lease, so that other instances need not wait for its end. The holder must have stopped the work
     * that the lease protects.
     * @return Nothing, `lease_error`, or `store_error`. The lease is no longer held by this instance unless the error
     * is `busy`.
     */
    result<void> release(std::string_view name);

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
