#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "../core/fwd.hpp"
#include "../target/target_client.hpp"
#include "fwd.hpp"
#include "response_times.hpp"

namespace mangopulley {

/*! @brief Target of one service in the platform's list. */
struct target_record {
    std::string id{};
    /*! @brief `ip:port`. */
    std::string endpoint{};
    std::string zone{};
    /*! @brief Whether the platform is about to remove the target. */
    bool leaving{};
};

/*! @brief How an attempt at a target ended. */
enum class attempt_outcome : unsigned char {
    /*! @brief Complete response with a status below 500. */
    answered,
    /*! @brief Complete response with a status of 500 or above. */
    server_error,
    /*! @brief The target shed the request without running it. */
    shed,
    /*! @brief No connection could be made. */
    not_sent,
    /*! @brief The connection broke or the response was incomplete. */
    broken,
    /*! @brief No response before the deadline. */
    timed_out,
    /*! @brief Abandoned because another attempt was answered. */
    cancelled,
    /*! @brief The slot was released without sending a request; says nothing about the target. */
    unused
};

/*! @brief Outcome of an attempt and the state of the target that its response reported. */
struct attempt_report {
    attempt_outcome outcome{attempt_outcome::unused};
    std::optional<load_report> load{};
    bool draining{};
    /*! @brief When the attempt ended, if earlier than the time of the report. */
    std::optional<time_point> ended{};
};

/*! @brief Limits of the catalogue entry on the use of one target. */
struct target_limits {
    std::uint32_t slots{2};
    std::uint32_t connections{220};
};

/*! @brief State of a target that accepts new requests, as seen by a policy. */
struct target_view {
    /*! @brief Position in the table; valid until the table changes. */
    std::size_t index{};
    /*! @brief Own attempts in flight. */
    std::uint32_t own_in_flight{};
    /*! @brief Estimated requests of other instances at the target, rounded. */
    std::uint32_t remote_in_flight{};
    /*! @brief Concurrent requests allowed at the target; 1 until the target has answered a few requests. */
    std::uint32_t slots{};
    /*! @brief Last load that the target reported, including its queue; may be outdated. */
    std::uint32_t reported{};
    /*! @brief Smoothed ratio of response time to the median of the request's kind; decays to 1. */
    double slowdown{1.0};
    /*! @brief Age of the own attempt with the earliest suspect time, as a multiple of its kind's median. */
    double oldest_age{};
    /*! @brief Whether the target is slow or fails. */
    bool suspect{};
    /*! @brief Whether the target is suspect and not used; at most half of the targets are avoided. */
    bool avoided{};
    /*! @brief Whether an avoided target may get a trial, an attempt that shows whether it has recovered. */
    bool trial_open{};
    /*! @brief Whether a trial should be made even though other targets are free. */
    bool trial_due{};
    time_point last_used{};

    /*! @brief Returns whether the known and estimated requests leave a slot free. */
    [[nodiscard]] bool has_free_slot() const noexcept {
        return this->own_in_flight + this->remote_in_flight < this->slots;
    }
};

/*! @brief State of one target for the state dump. */
struct target_snapshot {
    std::string id{};
    std::string endpoint{};
    std::string zone{};
    bool listed{};
    bool leaving{};
    bool draining{};
    bool unreachable{};
    bool suspect{};
    milliseconds suspect_for{};
    std::uint32_t in_flight{};
    double remote_in_flight{};
    double slowdown{};
    duration smoothed_response_time{};
    std::uint64_t answers{};
    std::uint64_t failures{};
    std::uint64_t contradicted_reports{};
};

/*! @brief Response times of one kind for the state dump. */
struct kind_snapshot {
    std::string kind{};
    duration median{};
    duration percentile_95{};
    duration suspect_threshold{};
};

/**
 * @brief Targets of one service with their load, response times and health as observed by this instance.
 *
 * Not thread-safe; accessed under the lock of `dispatcher`.
 */
class target_table {
public:
    /*! @brief Request of this instance in flight. */
    struct attempt;

    explicit target_table(target_limits bounds);
    target_table(const target_table&) = delete;
    target_table& operator=(const target_table&) = delete;
    ~target_table();

    /*! @brief Applies changed limits. */
    void configure(target_limits bounds) noexcept;

    /**
     * @brief Sets whether other instances send requests to the targets.
     * @param expected False when no other instance reports demand: load reports lag and then count only requests of
     * this instance, so they are ignored.
     */
    void expect_remote_requests(bool expected) noexcept;

    /*! @brief Replaces the targets by the platform's list; missing targets are kept until their attempts end. */
    void update(std::span<const target_record> targets);

    /**
     * @brief Marks a target as draining, as reported by itself or another instance.
     * @param id Id of the target.
     * @param now Current time.
     * @return Whether the target is known and was not marked before.
     */
    bool mark_draining(std::string_view id, time_point now);

    /*! @brief Records a load report received with a probe. */
    void report(std::string_view id, load_report load, time_point now);

    /*! @brief Returns whether any target accepts new requests, now or later. */
    [[nodiscard]] bool has_usable() const noexcept;

    /**
     * @brief Lists the targets that accept new requests.
     *
     * Omits targets that are gone, leaving or draining, targets with as many connections as the catalogue allows, and
     * the excluded ones. Claims to drain are ignored when more than half of the targets make them while the platform
     * lists these targets as live.
     *
     * @param excluded Ids of targets to omit.
     * @param now Current time.
     * @param views Replaced by the targets.
     */
    void view(std::span<const std::string> excluded, time_point now, std::vector<target_view>& views);

    /**
     * @brief Starts an attempt.
     * @param index Value of `target_view::index`.
     * @param kind Kind of request.
     * @param now Current time.
     * @return The attempt, to be ended with `end`.
     */
    [[nodiscard]] attempt* begin(std::size_t index, std::string_view kind, time_point now);

    /**
     * @brief Records the outcome of an abandoned attempt, which keeps its slot because its target may still work on it.
     * @param abandoned Attempt; `end` then records no further outcome.
     * @param report Report on the attempt.
     * @param now Current time.
     */
    void record_outcome(attempt& abandoned, const attempt_report& report, time_point now);

    /**
     * @brief Ends an attempt, releases its slot and records its outcome.
     * @param ended_attempt Attempt; invalid afterwards.
     * @param report Report on the attempt.
     * @param now Current time.
     * @return Id of the target when this report is the first to say that it drains, otherwise empty.
     */
    std::string end(attempt* ended_attempt, const attempt_report& report, time_point now);

    /*! @brief Returns the id of an attempt's target. */
    [[nodiscard]] const std::string& id(const attempt& in_flight) const noexcept;
    /*! @brief Returns the endpoint of an attempt's target. */
    [[nodiscard]] const std::string& endpoint(const attempt& in_flight) const noexcept;

    /**
     * @brief Returns the time at which to hedge an attempt.
     *
     * This is the 95th percentile of the kind's response time, or the time at which the target turns suspect if sooner,
     * but not before 1.5 times the median or the 95th percentile, whichever is shorter.
     *
     * @param in_flight Attempt.
     * @param suspects_only Whether to hedge only once the target is suspect.
     * @param now Current time.
     * @return The time; the maximum when the kind's response times are not known.
     */
    [[nodiscard]] time_point hedge_time(const attempt& in_flight, bool suspects_only, time_point now) const noexcept;

    /*! @brief Returns the response times of a kind. */
    [[nodiscard]] const response_times& times(std::string_view kind);

    /*! @brief Returns the live targets that no attempt was sent to for longer than a given time. */
    [[nodiscard]] std::vector<target_record> idle(duration longer_than, time_point now) const;

    [[nodiscard]] std::vector<target_snapshot> describe(time_point now) const;
    [[nodiscard]] std::vector<kind_snapshot> describe_kinds() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
