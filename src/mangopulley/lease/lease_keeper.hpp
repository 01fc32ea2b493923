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

/*! @brief Lengths of time of a lease. */
struct lease_rule {
    /*! @brief Time for which one write holds the lease. */
    milliseconds duration{6000};
    /*! @brief Additional time that an observer waits; covers clocks that run at different rates. */
    milliseconds margin{500};
    /*! @brief Time after which a former holder whose lease lapsed is no longer expected to wake; the platform replaces
     * an instance that does not answer for so long. */
    milliseconds longest_freeze{600'000};
};

/*! @brief Right of this instance to act as the holder. */
struct lease_grant {
    /*! @brief Fence number; higher than that of every earlier tenure. */
    std::uint64_t fence{};
    /*! @brief End on the own monotonic clock. */
    time_point until{};
    /*! @brief Former holders whose leases lapsed; each may be frozen and act once more when it wakes. */
    std::size_t lapsed{};
};

/*! @brief Reason why a lease is not held. */
struct lease_error {
    enum class code : std::uint8_t {
        /*! @brief Another incarnation holds it, or may hold it as far as this instance has observed. */
        held_elsewhere,
        /*! @brief Another write came first; it shows at the next attempt. */
        lost_race,
        /*! @brief Another thread of this process works on the same lease. */
        busy,
        /*! @brief The lease object cannot be read; it must be repaired by an operator. */
        malformed
    };

    code code{code::held_elsewhere};
    std::string name{};
    /*! @brief Holder according to the store; zero when there is none. */
    incarnation_id holder{};
};

/**
 * @brief Takes, renews and releases leases in the store.
 *
 * The holder counts the duration from before its request was sent; an observer takes a lease over only after it has
 * seen the same version for the duration and a margin on its own clock. Functions can be called from any thread.
 */
class lease_keeper {
public:
    /**
     * @brief Prepares the keeper; makes no call.
     * @param time Clock; must outlive the keeper.
     * @param store Store; must outlive the keeper.
     * @param own This incarnation.
     * @param rule Lengths of time.
     * @param draw Source of random ids that mark the own writes.
     */
    lease_keeper(const clock& time, store_client& store, incarnation_id own, lease_rule rule,
                 std::function<std::uint64_t()> draw);
    lease_keeper(const lease_keeper&) = delete;
    lease_keeper& operator=(const lease_keeper&) = delete;
    ~lease_keeper();

    /*! @brief Returns the lengths of time in use. */
    [[nodiscard]] const lease_rule& rule() const noexcept;

    /**
     * @brief Takes or renews a lease; makes up to three calls to the store.
     * @param name Name of the lease.
     * @return The grant, or `lease_error` or `store_error`; a grant of an earlier call may still hold then.
     */
    [[nodiscard]] result<lease_grant> acquire(std::string_view name);

    /*! @brief Returns the grant while it lasts; makes no call. */
    [[nodiscard]] std::optional<lease_grant> held(std::string_view name) const;

    /**
     * @brief Gives a lease up, so that others need not wait for its end. The holder must have ended its work.
     * @return Nothing, or `lease_error` or `store_error`; the lease is no longer held in any case.
     */
    result<void> release(std::string_view name);

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
