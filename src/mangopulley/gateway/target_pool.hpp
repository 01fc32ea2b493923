#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "listed_target.hpp"
#include "load_reading.hpp"

namespace mangopulley {

/*! @brief How a request ended at its target. */
enum class send_outcome : std::uint8_t {
    answered,
    /*! @brief The target answered with a failure of its own, or broke off. */
    failed,
    /*! @brief The target said that it did not run the request. */
    shed,
    /*! @brief No connection could be made. */
    unreachable,
    /*! @brief No answer in the time that was left. */
    timed_out,
    /*! @brief Given up for a reason that tells nothing about the target. */
    unused
};

/*! @brief Target of one service and what this instance knows of it. */
struct pool_target {
    listed_target listing{};
    /*! @brief False once the target has gone from the list; requests in flight may still end. */
    bool listed{true};
    time_point warm_until{};
    std::uint32_t in_flight{};
    std::optional<load_reading> reading{};
    time_point read_at{};
    std::uint32_t in_flight_at_reading{};
    /*! @brief Requests that other instances say they have in flight. */
    std::uint32_t foreign{};
    /*! @brief Smoothed share of failures, from 0 to 1. */
    double failure_share{};
    std::uint32_t failures_in_row{};
    time_point avoid_until{};
    time_point last_used{};
    bool probe_pending{};

    /*! @brief Returns the age of the last load reading; the maximum when there is none. */
    [[nodiscard]] duration reading_age(time_point now) const noexcept;
};

/*! @brief Constants of the choice of a target. */
struct target_choice_rule {
    std::string own_zone{};
    /*! @brief A load reading decides by itself up to this age; hosts change their pace several times a second. */
    duration fresh_for{std::chrono::milliseconds{25}};
    /*! @brief Time constant with which an older reading gives way to the usual pace of the service. */
    duration pace_memory{std::chrono::milliseconds{120}};
    /*! @brief Extra time counted for a target in another zone: its bytes are priced, and the way is longer. */
    duration other_zone_cost{std::chrono::milliseconds{25}};
    /*! @brief Work on a cold target takes this much longer. */
    double cold_factor{2.0};
    /*! @brief Work that fills the last slot of a target takes this much longer. */
    double full_factor{1.5};
    /*! @brief A target that always fails counts as this many times slower. */
    double failure_cost{8.0};
    duration first_avoidance{std::chrono::milliseconds{300}};
    duration longest_avoidance{std::chrono::seconds{3}};
};

/**
 * @brief Targets of one service: what is known of them, and which one is best for a request.
 *
 * Decides without a network or a clock of its own. Not synchronised; belongs to the loop's thread.
 */
class target_pool {
public:
    using handle = std::shared_ptr<pool_target>;

    /*! @brief Request that needs a target. */
    struct choice {
        /*! @brief Time that the work usually takes. */
        duration work{};
        /*! @brief Ids of targets already tried. */
        std::span<const std::string> excluded{};
        /*! @brief Whether only targets with a fresh load reading count. */
        bool fresh_only{};
    };

    /*! @brief Target and the time in which it is expected to answer. */
    struct estimate {
        handle target{};
        duration expected{};
    };

    explicit target_pool(target_choice_rule bounds) : rule{std::move(bounds)} {}

    /**
     * @brief Takes over the list of the service's targets.
     * @param listed Targets; those whose id or start is new begin without history.
     * @param now Present time.
     */
    void update(std::span<const listed_target> listed, time_point now);

    /*! @brief Returns the free target with the lowest expected answer time, or nothing. */
    [[nodiscard]] std::optional<estimate> best(const choice& wanted, time_point now) const;
    /**
     * @brief Lists free targets whose load is worth asking for, most promising first.
     * @param wanted Request.
     * @param most Longest list.
     * @param now Present time.
     */
    [[nodiscard]] std::vector<handle> worth_probing(const choice& wanted, std::size_t most, time_point now) const;

    void begin(pool_target& target, time_point now) noexcept;
    /**
     * @brief Ends a request at a target and learns from it.
     * @param target Target.
     * @param outcome How it ended.
     * @param load Load reading that came with the answer.
     * @param now Present time.
     */
    void end(pool_target& target, send_outcome outcome, const std::optional<load_reading>& load, time_point now);
    /*! @brief Takes in the answer to a probe. */
    void take_reading(pool_target& target, const load_reading& reading, time_point now);
    /*! @brief Notes that a probe got no answer, or that the target says it takes no work. */
    void note_probe_failure(pool_target& target, time_point now);

    /*! @brief Tells whether any target may take new work, now or when a slot is free. */
    [[nodiscard]] bool has_usable(std::span<const std::string> excluded) const noexcept;
    /*! @brief Returns the number of targets that may take new work. */
    [[nodiscard]] std::size_t usable() const noexcept;
    /*! @brief Returns the slots of the targets that may take new work. */
    [[nodiscard]] std::size_t slots() const noexcept;
    /*! @brief Returns the usual pace of the service's hosts. */
    [[nodiscard]] double usual_pace() const noexcept { return this->mean_pace; }
    /*! @brief Tells whether the targets report their load; assumed until one has answered without a report. */
    [[nodiscard]] bool reports_load() const noexcept { return this->reporting; }
    /*! @brief Notes that an answer carried no load report. */
    void note_no_report() noexcept;
    [[nodiscard]] std::span<const handle> targets() const noexcept { return this->members; }

    /*! @brief Returns the factor by which work at a target is expected to take longer than usual. */
    [[nodiscard]] double slowness(const pool_target& target, time_point now) const noexcept;

private:
    /*! @brief Returns the requests of others at a target, as they say themselves or as the target reported. */
    [[nodiscard]] double foreign(const pool_target& target, time_point now) const noexcept;
    [[nodiscard]] bool is_free(const pool_target& target, time_point now) const noexcept;
    [[nodiscard]] duration expected(const pool_target& target, duration work, time_point now) const noexcept;
    void note_failure(pool_target& target, time_point now) noexcept;
    void learn_pace(double pace) noexcept;

    target_choice_rule rule;
    std::vector<handle> members{};
    double mean_pace{1.2};
    bool reporting{true};
    bool ever_reported{};
};

} // namespace mangopulley
