#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "target_pool.hpp"

namespace mangopulley {

/*! @brief Request that waits for a target. */
struct waiting_request {
    std::string id{};
    /*! @brief Rank; 0 is the highest. */
    std::uint32_t priority{};
    /*! @brief When it entered the line. */
    time_point arrived{};
    /*! @brief An answer until then earns its full worth. */
    time_point goal{};
    /*! @brief No answer is of use after this. */
    time_point deadline{};
    /*! @brief Time that the work usually takes. */
    duration work{};
    /*! @brief Ids of targets already tried. */
    std::vector<std::string> tried{};
};

/*! @brief Why a request got no target; it was not run. */
enum class refusal_reason : std::uint8_t {
    /*! @brief No target of the service takes new work. */
    no_target,
    /*! @brief The requests ahead leave no time for an answer before the deadline. */
    overloaded,
    /*! @brief The deadline is too near for an answer. */
    out_of_time
};

/*! @brief Refusal and when asking again is of use. */
struct refusal {
    refusal_reason reason{refusal_reason::no_target};
    duration retry_after{};
};

/*! @brief Constants of the order in which requests get targets. */
struct scheduling_rule {
    /*! @brief Probes that one waiting request may have under way. */
    std::size_t probes_per_request{2U};
    /*! @brief Longest time that a request waits for the first load reading. */
    duration longest_scouting{std::chrono::milliseconds{15}};
    /*! @brief An answer time up to this multiple of the usual work is accepted without looking further. */
    double good_enough{1.6};
    /*! @brief A request waits for a faster target while its time to the goal is above this multiple of its work. */
    double waiting_margin{1.6};
    /*! @brief Share of the usual work time below which no answer can be expected before the deadline. */
    double least_work{0.6};
    /*! @brief A request with less than this multiple of its work left to its goal counts as late. */
    double late_margin{1.5};
    /*! @brief The line counts as overloaded when its wait is above this share of the time to the goal. */
    double overload_share{0.15};
    /*! @brief Share of the slots up to which late requests are served; above it targets work near their limit. */
    double late_share{0.4};
    /*! @brief Probes of one target in a second that this instance may send. */
    double probes_per_target{8.0};
};

/**
 * @brief Matches the waiting requests of one service with its targets.
 *
 * A request waits here rather than at a target, so that it goes to whichever target is free and fast first. Before a
 * request is sent, the load of a few candidates is asked for, because a report is out of date within 100 ms. Decides
 * without a network or a clock of its own: the actions are given, and `advance` is called with the time.
 */
class request_scheduler {
public:
    using request = std::shared_ptr<waiting_request>;

    /*! @brief What the scheduler asks for; the actions must not call back into the scheduler. */
    struct actions {
        std::function<void(const request& item, const target_pool::handle& target)> send{};
        std::function<void(const target_pool::handle& target)> probe{};
        std::function<void(const request& item, const refusal& why)> refuse{};
    };

    request_scheduler(const target_choice_rule& choice, const scheduling_rule& order, actions outlets);
    request_scheduler(const request_scheduler&) = delete;
    request_scheduler& operator=(const request_scheduler&) = delete;
    ~request_scheduler();

    /*! @brief Returns the targets, for updates and observations. */
    [[nodiscard]] target_pool& targets() noexcept;
    [[nodiscard]] const target_pool& targets() const noexcept;
    /*! @brief Replaces the number of probes that each target may get from this instance in a second. */
    void limit_probes(double per_target) noexcept;

    /*! @brief Adds a request, or refuses it at once when it cannot be answered in time. */
    void submit(const request& item, time_point now);
    /*! @brief Removes a request that nobody waits for any more. */
    void withdraw(const request& item) noexcept;
    /*! @brief Sends, probes and refuses as far as possible now. */
    void advance(time_point now);
    /*! @brief Notes that a request has ended, to learn how fast the line moves. */
    void note_completion(duration taken) noexcept;

    /*! @brief Returns the number of waiting requests. */
    [[nodiscard]] std::size_t waiting() const noexcept;
    /*! @brief Returns how long a new request is expected to wait for a slot. */
    [[nodiscard]] duration expected_wait() const noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
