#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "listed_target.hpp"
#include "load_reading.hpp"
#include "target_advice.hpp"
#include "target_reason.hpp"
#include "warm_up_limits.hpp"

namespace mangopulley {

/*! @brief How a request ended at its target. */
enum class send_outcome : std::uint8_t {
    succeeded,
    /*! @brief The target responded with an error or closed the connection early. */
    failed,
    /*! @brief The target reported that it did not run the request. */
    shed,
    /*! @brief No connection could be established, or another target has the address. */
    unreachable,
    /*! @brief No response before the deadline. */
    timed_out,
    /*! @brief Cancelled for a reason unrelated to the target. */
    cancelled,
    /*! @brief Cancelled when it was late, because another target responded first. */
    overtaken
};

/*! @brief Target of one service with its load and failure statistics on this instance. */
struct pool_target {
    listed_target listing{};
    /*! @brief False once the target is no longer listed; requests in flight may still end. */
    bool listed{true};
    /*! @brief Whether the target's zone is evacuated: nothing may be sent to it. */
    bool evacuated{};
    /*! @brief Time until which the target is cold. */
    time_point warm_up_until{};
    /*! @brief Whether the target was already reported as cold, so that each time is logged once. */
    bool reported_cold{};
    /*! @brief This instance's share of the requests to the target while it is cold. */
    double cold_share{};
    warm_up_bucket warm_up_tokens{};
    std::uint32_t in_flight{};
    std::optional<load_reading> reading{};
    time_point read_at{};
    std::uint32_t in_flight_at_reading{};
    /*! @brief Requests in flight here as advertised by other instances. */
    std::uint32_t remote_in_flight{};
    /*! @brief Moving average of the failure rate, from 0 to 1. */
    double failure_share{};
    /*! @brief Moving average of the share of requests that the target rejects without executing them, from 0 to 1. */
    double rejection_share{};
    /*! @brief Moving average of the share of requests on which another target overtook this one, from 0 to 1. */
    double lateness_share{};
    std::uint32_t failures_in_row{};
    time_point avoid_until{};
    time_point last_used{};
    bool probe_pending{};
    /*! @brief Whether the target said in a response that it leaves, which holds until it starts again. */
    bool leaving{};
    /*! @brief Time until which the target counts as gone, because another one answered at its address. */
    time_point displaced_until{};
    /*! @brief Time until which the target wants no requests. */
    time_point paused_until{};
    /*! @brief Whether no request has succeeded since the last pause; until one does, the target gets one at a time. */
    bool resuming{};

    /*! @brief Returns the age of the last load reading; the maximum when there is none. */
    [[nodiscard]] duration reading_age(time_point now) const noexcept;
    /*! @brief Returns whether the target takes new requests, now or when a slot is free. */
    [[nodiscard]] bool accepts_work(time_point now) const noexcept { return !this->obstacle(now); }
    /*! @brief Returns why the target takes no new requests; nothing if it does. */
    [[nodiscard]] std::optional<target_reason> obstacle(time_point now) const noexcept;
    [[nodiscard]] bool is_cold(time_point now) const noexcept { return this->warm_up_until > now; }
};

/*! @brief Constants of the choice of a target. */
struct target_choice_rule {
    std::string own_zone{};
    /*! @brief A load reading is used undiscounted up to this age; the slowdown of a host changes several times a
     * second. */
    duration max_fresh_age{std::chrono::milliseconds{25}};
    /*! @brief Time constant of the decay from an older reading to the mean slowdown of the service. */
    duration reading_decay{std::chrono::milliseconds{120}};
    /*! @brief Penalty for a target in another zone: traffic between zones is billed and has a higher latency. */
    duration other_zone_cost{std::chrono::milliseconds{25}};
    /*! @brief Factor on the processing time at a target that is still warming up. */
    double warm_up_factor{2.0};
    /*! @brief A cold target that got no request for this long counts as a warm one, so that it is not left out while
     * others are free. */
    duration longest_cold_neglect{std::chrono::seconds{1}};
    /*! @brief Time after its warm-up over which the rate of requests to a target rises. */
    duration warm_up_rise{std::chrono::seconds{2}};
    /*! @brief Time in which that rate doubles. */
    duration warm_up_doubling{std::chrono::milliseconds{500}};
    /*! @brief Factor on the processing time of a request that takes the last slot of a target. */
    double last_slot_factor{1.5};
    /*! @brief Added to the slowdown of a target that always fails; scaled by the failure rate. */
    double failure_cost{8.0};
    /*! @brief Penalty for a target that rejects every request, scaled by the share that it rejects: another attempt
     * takes little time, unlike a failure, but the retry budget is limited. */
    duration rejection_cost{std::chrono::milliseconds{40}};
    /*! @brief Added to the slowdown of a target that is always overtaken; scaled by the share of overtaken requests. */
    double lateness_cost{4.0};
    duration initial_avoidance{std::chrono::milliseconds{300}};
    duration max_avoidance{std::chrono::seconds{3}};
    /*! @brief Time without requests after another target answered at the address. The entry of a target that is gone
     * lapses within seconds; a wrong answer excludes a target for no longer. */
    duration displacement{std::chrono::seconds{10}};
};

/**
 * @brief Targets of one service with their statistics; selects the best one for a request.
 *
 * Uses no network or clock of its own. Not thread-safe; used on the event loop's thread only.
 */
class target_pool {
public:
    using handle = std::shared_ptr<pool_target>;

    /*! @brief Criteria for the choice of a target. */
    struct criteria {
        /*! @brief Expected processing time on a host without slowdown. */
        duration work{};
        /*! @brief Ids of targets already tried. */
        std::span<const std::string> excluded{};
        /*! @brief Whether only targets with a fresh load reading are eligible. */
        bool fresh_only{};
        /*! @brief Availability zone whose targets are chosen only if no other has a free one; empty for none. */
        std::string_view avoided_zone{};
    };

    /*! @brief Target and its expected response time. */
    struct estimate {
        handle target{};
        duration expected{};
    };

    /*! @brief Target with the reason why it would or would not get a request. */
    struct explained_target {
        handle target{};
        target_reason reason{};
        /*! @brief Expected response time. */
        duration expected{};
    };

    explicit target_pool(target_choice_rule bounds) : rule{std::move(bounds)} {}

    /**
     * @brief Replaces the list of the service's targets.
     * @param listed Targets; those with a new id or start time begin without statistics.
     * @param now Current time.
     */
    void update(std::span<const listed_target> listed, time_point now);
    /**
     * @brief Limits the requests to targets that are cold or were until recently.
     * @param rate Requests per second that a cold target tolerates from all instances together; 0 without a limit.
     * @param senders Shares of this instance.
     */
    void limit_cold_targets(double rate, const warm_up_senders& senders);
    /**
     * @brief Replaces the evacuated zones.
     * @param zones Zones whose targets must get nothing.
     * @param warm_up Time for which targets of a zone that is evacuated no more count as cold, where their requests are
     * limited.
     * @param now Current time.
     */
    void evacuate(std::span<const std::string> zones, duration warm_up, time_point now);
    /*! @brief Records how much longer a target said that it stays cold. */
    void record_warm_up(pool_target& target, duration remaining, time_point now) const noexcept;

    /*! @brief Returns the free target with the lowest expected response time, or nothing. */
    [[nodiscard]] std::optional<estimate> best(const criteria& wanted, time_point now) const;
    /**
     * @brief Returns free targets without a fresh load reading, lowest expected response time first.
     * @param wanted Criteria for the choice.
     * @param limit Maximum number of targets returned.
     * @param now Current time.
     */
    [[nodiscard]] std::vector<handle> probe_candidates(const criteria& wanted, std::size_t limit, time_point now) const;
    /*! @brief Returns the target for a second attempt beside an open one: free and not avoided after failures; null if
     * there is none. */
    [[nodiscard]] handle best_for_hedge(criteria wanted, time_point now) const;

    /**
     * @brief Gives each target the reason why it would or would not get a request.
     * @param wanted Criteria of the choice.
     * @param chosen Target that would get it; null if there is none yet.
     * @param probed Targets that would be probed first.
     * @param now Current time.
     */
    [[nodiscard]] std::vector<explained_target> explain(const criteria& wanted, const handle& chosen,
                                                        std::span<const handle> probed, time_point now) const;

    /*! @brief Counts a request at a target, and takes its token if the target's rate is limited. */
    void begin(pool_target& target, time_point now) noexcept;
    /**
     * @brief Ends a request at a target and updates the target's statistics.
     * @param target Target.
     * @param outcome How it ended.
     * @param load Load reading that came with the response.
     * @param now Current time.
     */
    void end(pool_target& target, send_outcome outcome, const std::optional<load_reading>& load, time_point now);
    /*! @brief Records a load reading from a probe or a response. */
    void record_reading(pool_target& target, const load_reading& reading, time_point now);
    /*! @brief Records that a probe got no response, or that the target reported that it takes no work. */
    void record_probe_failure(pool_target& target, time_point now);

    /**
     * @brief Records what a target said in a response about the requests that it wants.
     * @param target Target.
     * @param advice What it said.
     * @param now Current time.
     * @return Whether the target is leaving or paused for longer than was known before.
     */
    bool record_advice(pool_target& target, const target_advice& advice, time_point now) noexcept;

    /*! @brief Records that another target answered at a target's address, which has one process at a time. */
    void record_displacement(pool_target& target, time_point now) const noexcept;

    /*! @brief Returns whether any target may take new work, now or when a slot is free. */
    [[nodiscard]] bool has_usable(std::span<const std::string> excluded, time_point now) const noexcept;
    /*! @brief Returns whether any target has a free slot now. */
    [[nodiscard]] bool has_free(time_point now) const noexcept;
    /*! @brief Returns when the first target will take requests again if all that will are paused; nothing otherwise. */
    [[nodiscard]] std::optional<time_point> end_of_pause(std::span<const std::string> excluded,
                                                         time_point now) const noexcept;
    /*! @brief Returns the number of targets that may take new work. */
    [[nodiscard]] std::size_t usable(time_point now) const noexcept;
    /*! @brief Returns the slots of the targets that may take new work. */
    [[nodiscard]] std::size_t slots(time_point now) const noexcept;
    /*! @brief Returns the mean slowdown of the service's hosts. */
    [[nodiscard]] double mean_slowdown() const noexcept { return this->service_slowdown; }
    /*! @brief Returns whether the targets report their load; assumed until one has responded without a report. */
    [[nodiscard]] bool reports_load() const noexcept { return this->reporting; }
    /*! @brief Records that a response carried no load report. */
    void record_missing_report() noexcept;
    [[nodiscard]] std::span<const handle> targets() const noexcept { return this->members; }

    /*! @brief Returns the factor by which processing at a target is expected to take longer than usual. */
    [[nodiscard]] double slowdown(const pool_target& target, time_point now) const noexcept;

private:
    /*! @brief Returns the requests of other instances at a target: the larger of the advertised and the reported
     * number. */
    [[nodiscard]] double remote_requests(const pool_target& target, time_point now) const noexcept;
    [[nodiscard]] bool is_free(const pool_target& target, time_point now) const noexcept {
        return !this->obstacle(target, now);
    }
    /*! @brief Returns why a target cannot get a request now; nothing if it can. */
    [[nodiscard]] std::optional<target_reason> obstacle(const pool_target& target, time_point now) const noexcept;
    [[nodiscard]] target_reason reason_against(const explained_target& free, const criteria& wanted,
                                               const handle& chosen, time_point now) const noexcept;
    /*! @brief Returns the rate at which this instance may send to a target because of its warm-up; nothing without a
     * limit. */
    [[nodiscard]] std::optional<double> warm_up_rate(const pool_target& target, time_point now) const noexcept;
    [[nodiscard]] duration expected(const pool_target& target, duration work, time_point now) const noexcept;
    void record_failure(pool_target& target, time_point now) noexcept;
    void update_mean_slowdown(double slowdown) noexcept;
    [[nodiscard]] handle find(const listed_target& listing) const;
    void mark_evacuated(pool_target& target, time_point now) const noexcept;
    void remember_unlisted(std::span<const handle> next, time_point now);

    /*! @brief Target that is no longer listed, but whose advice still holds if it is listed again. */
    struct unlisted_target {
        handle target{};
        time_point forget_at{};
    };

    target_choice_rule rule;
    std::vector<handle> members{};
    std::vector<unlisted_target> unlisted{};
    double service_slowdown{1.2};
    std::vector<std::string> evacuated_zones{};
    duration warm_up_on_return{};
    double cold_rate{};
    double share_after_warm_up{1.0};
    bool reporting{true};
    bool ever_reported{};
};

} // namespace mangopulley
