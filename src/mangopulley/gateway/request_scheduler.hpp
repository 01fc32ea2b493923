#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "target_pool.hpp"
#include "waiting_request.hpp"

namespace mangopulley {

/*! @brief Why a request was refused; no target has run it. */
enum class refusal_reason : std::uint8_t {
    /*! @brief No target of the service takes new work. */
    no_target,
    /*! @brief All targets that will take new work have asked for a pause. */
    paused,
    /*! @brief The wait in the queue would leave too little time before the deadline, or targets are congested and
     * the request can no longer meet its latency goal. */
    overloaded,
    /*! @brief The deadline is too close for a response. */
    out_of_time
};

/*! @brief Reason for a refusal and the delay after which a retry is useful. */
struct refusal {
    refusal_reason reason{refusal_reason::no_target};
    duration retry_after{};
};

/*! @brief What would happen next to a request that came now. */
enum class next_step : std::uint8_t { refused, sent, probes_first, waits };

/*! @brief Decision about a request that came now, without its effects. */
struct request_preview {
    next_step step{next_step::refused};
    /*! @brief The refusal, if the request would be refused at once. */
    std::optional<refusal> refused{};
    /*! @brief Waiting requests, and those of them that would be served before. */
    std::size_t waiting{};
    std::size_t ahead{};
    duration expected_wait{};
    std::vector<target_pool::explained_target> targets{};
};

/*! @brief Constants of the assignment of queued requests to targets. */
struct scheduling_rule {
    /*! @brief Maximum number of pending probes per waiting request. */
    std::size_t probes_per_request{2U};
    /*! @brief Longest time that a request waits for the first load reading. */
    duration max_probe_wait{std::chrono::milliseconds{15}};
    /*! @brief An expected response time up to this multiple of the processing time is accepted without further probes.
     */
    double acceptable_factor{1.6};
    /*! @brief A request waits for a faster target while the time to its latency goal exceeds this multiple of its
     * processing time. */
    double waiting_margin{1.6};
    /*! @brief A request is refused when less than this share of its processing time is left to the deadline. */
    double min_work_share{0.6};
    /*! @brief A request counts as late when less than this multiple of its processing time is left to its
     * latency goal. */
    double late_margin{1.5};
    /*! @brief The queue is overloaded when a request has waited longer than this share of the time from its
     * arrival to its latency goal. */
    double overload_wait_share{0.15};
    /*! @brief Late requests are served only up to this share of busy slots; above it targets work near their limit. */
    double max_busy_share_for_late{0.4};
    /*! @brief Probes per second that this instance may send to each target. */
    double probes_per_target{8.0};
};

/**
 * @brief Matches the waiting requests of one service with its targets.
 *
 * Requests wait here rather than at a target, so that each goes to the first target that is free and fast. Before a
 * request is sent, a few candidates are probed for their load, because a report is out of date within 100 ms. Uses no
 * network or clock of its own: effects go through callbacks, and the time is passed to each call.
 */
class request_scheduler {
public:
    using request = std::shared_ptr<waiting_request>;

    /*! @brief Callbacks of the scheduler; they must not call back into it. */
    struct callbacks {
        std::function<void(const request& item, const target_pool::handle& target)> send{};
        std::function<void(const target_pool::handle& target)> probe{};
        std::function<void(const request& item, const refusal& why)> refuse{};
    };

    request_scheduler(const target_choice_rule& choice, const scheduling_rule& scheduling, callbacks hooks);
    request_scheduler(const request_scheduler&) = delete;
    request_scheduler& operator=(const request_scheduler&) = delete;
    ~request_scheduler();

    /*! @brief Returns the targets, for updates and load readings. */
    [[nodiscard]] target_pool& targets() noexcept;
    [[nodiscard]] const target_pool& targets() const noexcept;
    /*! @brief Sets the maximum number of probes per second that this instance sends to each target. */
    void limit_probes(double per_target) noexcept;

    /*! @brief Queues a request, or refuses it at once when no response is possible before its deadline. */
    void submit(const request& item, time_point now);
    /*! @brief Removes a request that its caller has abandoned. */
    void withdraw(const request& item) noexcept;
    /*! @brief Sends or refuses the queued requests for which this can be decided now, and sends probes. */
    void advance(time_point now);
    /*! @brief Returns what `submit` would do with a request that came now; changes nothing. */
    [[nodiscard]] request_preview preview(const waiting_request& item, time_point now) const;
    /*! @brief Records how long a completed request occupied its slot, to estimate the wait in the queue. */
    void record_slot_time(duration elapsed) noexcept;

    /*! @brief Returns the number of waiting requests. */
    [[nodiscard]] std::size_t waiting() const noexcept;
    /*! @brief Returns the share of the slots that requests of all instances occupy. */
    [[nodiscard]] double busy_share(time_point now) const noexcept;
    /*! @brief Returns how long a new request is expected to wait for a slot. */
    [[nodiscard]] duration expected_wait(time_point now) const noexcept;
    /*! @brief Returns the time after which a caller may return if all targets are paused; nothing otherwise. It differs
     * from call to call, so that callers do not return together. */
    [[nodiscard]] std::optional<duration> pause_left(time_point now) noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
