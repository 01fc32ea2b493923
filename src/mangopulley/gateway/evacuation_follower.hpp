#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>

#include "../loop/event_loop.hpp"
#include "../observe/decision_log.hpp"
#include "evacuation_set.hpp"
#include "peer_record.hpp"
#include "platform_client.hpp"

namespace mangopulley {

/*! @brief Parameters for following the evacuated zones. */
struct evacuation_rule {
    /*! @brief Age of the set at which the instance of rank 0 reads it again. */
    duration read_age{std::chrono::milliseconds{1'800}};
    /*! @brief Additional age allowed for each further rank. */
    duration age_per_rank{std::chrono::milliseconds{250}};
    /*! @brief Number of ranks that read in time for the bound when all lower ones are turned away; about the leaders of
     * three zones. */
    std::size_t timely_ranks{9U};
    /*! @brief Age at which the first of the other instances reads; they follow one by one, so that an outage costs few
     * calls. */
    duration late_age{std::chrono::seconds{8}};
    duration late_age_step{std::chrono::milliseconds{500}};
    std::uint64_t late_age_steps{64U};
    duration call_timeout{std::chrono::milliseconds{600}};
    /*! @brief Time after which a call is taken for lost whose completion did not come at all. */
    duration lost_call{std::chrono::milliseconds{1'200}};
    /*! @brief Pause after a failed call; meanwhile the next rank reads. */
    duration retry_pause{std::chrono::seconds{20}};
    /*! @brief Age at which rank 0 ignores its pause, since nobody else could read either. */
    duration stale_age{std::chrono::seconds{6}};
    duration stale_age_per_rank{std::chrono::seconds{2}};
    /*! @brief Shortest time between two calls while it ignores its pause. */
    duration stale_retry_pause{std::chrono::seconds{4}};
    /*! @brief Longest time that a new instance waits for a set before it sends requests without one. */
    duration longest_first_wait{std::chrono::seconds{4}};
};

/**
 * @brief Keeps the set of evacuated zones up to date, with few calls to the platform API.
 *
 * The instances are ranked as for the other documents, and their heartbeats carry the whole set, which is usually
 * empty. An instance that neither reads nor hears of a newer set keeps the last one. Does nothing until it is enabled.
 */
class evacuation_follower {
public:
    /*! @brief Dependencies of the follower; the referenced objects must outlive it. */
    struct dependencies {
        event_loop& loop;
        platform_client& platform;
        decision_log& log;
        std::uint64_t incarnation{};
        /*! @brief Returns the rank of this instance among the readers, from 0. */
        std::function<std::size_t()> rank{};
        /*! @brief Returns how long a new instance waits for the set of another instance before its first read. */
        std::function<duration()> first_read_delay{};
        /*! @brief Called after each successful read to notify other instances. */
        std::function<void()> announce{};
        /*! @brief Called with the evacuated zones when they change, and when the first set is held or not waited for
         * any more. */
        std::function<void(std::span<const std::string> zones)> changed{};
    };

    evacuation_follower(dependencies deps, const evacuation_rule& bounds);
    evacuation_follower(const evacuation_follower&) = delete;
    evacuation_follower& operator=(const evacuation_follower&) = delete;
    ~evacuation_follower();

    /*! @brief Starts to follow the zones, with other parameters if it does already. */
    void enable(const evacuation_rule& bounds);
    /*! @brief Stops following; no zone counts as evacuated then. */
    void disable();
    /*! @brief Processes the record of another instance. */
    void receive(const std::string& ip, const peer_record& record);

    /*! @brief Fills in the set for a heartbeat. */
    void describe(peer_record& record) const;
    /*! @brief Returns whether requests may be sent: a set is held, was not to be had, or is not needed. */
    [[nodiscard]] bool settled() const noexcept;
    [[nodiscard]] bool enabled() const noexcept;
    [[nodiscard]] const evacuation_set& current() const noexcept;
    [[nodiscard]] duration age() const noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

/**
 * @brief Returns the parameters for a bound on the time until an evacuation is in force.
 * @param bound Time from the acknowledgement of an evacuation until no request reaches its zone.
 */
[[nodiscard]] evacuation_rule make_evacuation_rule(duration bound) noexcept;

} // namespace mangopulley
