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
#include "answer_times.hpp"
#include "fwd.hpp"

namespace mangopulley {

/*! @brief Target of one service as the platform lists it. */
struct target_record {
    std::string id{};
    /*! @brief `ip:port`. */
    std::string endpoint{};
    std::string zone{};
    bool leaving{};
};

/*! @brief How an attempt at a target ended. */
enum class attempt_outcome : unsigned char {
    /*! @brief Whole answer with a status below 500. */
    answered,
    /*! @brief Whole answer with a status of 500 or above. */
    server_error,
    /*! @brief The target shed the request. */
    shed,
    /*! @brief No connection could be made. */
    not_sent,
    /*! @brief The connection broke or the answer was not whole. */
    broken,
    /*! @brief No answer before the deadline. */
    timed_out,
    /*! @brief Given up because another attempt was answered. */
    cancelled,
    /*! @brief No request was sent on purpose; tells nothing about the target. */
    unused
};

/*! @brief What an attempt showed of its target. */
struct observation {
    attempt_outcome outcome{attempt_outcome::unused};
    std::optional<load_report> load{};
    bool draining{};
    /*! @brief When the attempt ended, if earlier than it is reported. */
    std::optional<time_point> ended{};
};

/*! @brief Numbers of the catalogue entry that bound the use of one target. */
struct target_limits {
    std::uint32_t slots{2};
    std::uint32_t connections{220};
};

/*! @brief What a policy sees of a target that may take new work. */
struct target_view {
    /*! @brief Position in the table; valid until the table changes. */
    std::size_t index{};
    /*! @brief Own attempts in flight. */
    std::uint32_t own{};
    /*! @brief Estimated requests of others at the target, rounded. */
    std::uint32_t foreign{};
    /*! @brief Requests that the target may hold now; 1 for a target that has answered little. */
    std::uint32_t slots{};
    /*! @brief Last load that the target reported, queue included; it may be old. */
    std::uint32_t reported{};
    /*! @brief Smoothed answer time as a multiple of the median of the kinds it answered; decays to 1. */
    double slowdown{1.0};
    /*! @brief Age of the own attempt that is most overdue, as a multiple of its kind's median. */
    double oldest_age{};
    /*! @brief Whether the target is slow or fails. */
    bool suspect{};
    /*! @brief Whether a suspect target is kept out of use; at most half of the targets are. */
    bool avoided{};
    /*! @brief Whether an avoided target may take an attempt that shows whether it has recovered. */
    bool trial_open{};
    /*! @brief Whether the time for such an attempt has come even though other targets are free. */
    bool trial_due{};
    time_point last_used{};

    /*! @brief Tells whether a slot is free as far as is known. */
    [[nodiscard]] bool has_free_slot() const noexcept { return this->own + this->foreign < this->slots; }
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
    double foreign{};
    double slowdown{};
    duration smoothed_answer_time{};
    std::uint64_t answers{};
    std::uint64_t failures{};
    std::uint64_t contradicted_reports{};
};

/*! @brief Answer times of one kind for the state dump. */
struct kind_snapshot {
    std::string kind{};
    duration median{};
    duration percentile_95{};
    duration suspect_age{};
};

/**
 * @brief Targets of one service and what this instance knows of them.
 *
 * Not synchronised; `dispatcher` guards it.
 */
class target_table {
public:
    /*! @brief An own request in flight. */
    struct attempt;

    explicit target_table(target_limits bounds);
    target_table(const target_table&) = delete;
    target_table& operator=(const target_table&) = delete;
    ~target_table();

    /*! @brief Puts other numbers of the catalogue entry in force. */
    void configure(target_limits bounds) noexcept;

    /**
     * @brief States whether other instances send requests to the targets.
     * @param expected False when no other instance reports demand: lagging load reports then only repeat own requests.
     */
    void expect_foreign(bool expected) noexcept;

    /*! @brief Takes over the platform's list; a target that is gone from it stays until its attempts have ended. */
    void update(std::span<const target_record> targets);

    /**
     * @brief Notes that a target takes no new work, as it or another instance said.
     * @param id Target.
     * @param now Present time.
     * @return Whether this was new.
     */
    bool mark_draining(std::string_view id, time_point now);

    /*! @brief Takes in a load report that came with a probe. */
    void report(std::string_view id, load_report load, time_point now);

    /*! @brief Tells whether any target may take new work, now or later. */
    [[nodiscard]] bool has_usable() const noexcept;

    /**
     * @brief Lists the targets that may take new work.
     *
     * Not listed are those that are gone, leave or drain, those that hold as many connections as the catalogue allows,
     * and the excluded ones. Claims to drain are ignored when more than half of the targets make them while the
     * platform lists them as live.
     *
     * @param excluded Ids of targets to leave out.
     * @param now Present time.
     * @param views Receives the targets.
     */
    void view(std::span<const std::string> excluded, time_point now, std::vector<target_view>& views);

    /**
     * @brief Counts a new attempt.
     * @param index Position from `view`.
     * @param kind Kind of request.
     * @param now Present time.
     * @return The attempt, to be ended with `end`.
     */
    [[nodiscard]] attempt* begin(std::size_t index, std::string_view kind, time_point now);

    /**
     * @brief Learns from an attempt that was given up while its target may still work on it; it keeps its slot.
     * @param given_up Attempt; `end` then learns nothing more from it.
     * @param seen What it showed.
     * @param now Present time.
     */
    void conclude(attempt& given_up, const observation& seen, time_point now);

    /**
     * @brief Ends an attempt and learns from it.
     * @param ended Attempt; invalid afterwards.
     * @param seen What it showed.
     * @param now Present time.
     * @return Id of the target when it has just said for the first time that it drains, otherwise empty.
     */
    std::string end(attempt* ended, const observation& seen, time_point now);

    /*! @brief Returns the id of an attempt's target. */
    [[nodiscard]] const std::string& id(const attempt& open) const noexcept;
    /*! @brief Returns the endpoint of an attempt's target. */
    [[nodiscard]] const std::string& endpoint(const attempt& open) const noexcept;

    /**
     * @brief Returns when a second attempt at the same request is worth its cost.
     *
     * This is the 95th percentile of the kind's answer time, or sooner when the target turns suspect, but not before
     * one and a half times the median.
     *
     * @param open Attempt.
     * @param suspects_only Whether slow answers of targets that are not suspect are waited for.
     * @param now Present time.
     * @return The time; the maximum when the kind's answer times are not known.
     */
    [[nodiscard]] time_point hedge_time(const attempt& open, bool suspects_only, time_point now) const noexcept;

    /*! @brief Returns the answer times of a kind. */
    [[nodiscard]] const answer_times& times(std::string_view kind);

    /*! @brief Returns ids and endpoints of live targets that no attempt was sent to for a while. */
    [[nodiscard]] std::vector<target_record> idle(duration longer_than, time_point now) const;

    [[nodiscard]] std::vector<target_snapshot> describe(time_point now) const;
    [[nodiscard]] std::vector<kind_snapshot> describe_kinds() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
