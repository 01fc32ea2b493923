#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "../catalogue/catalogue_document.hpp"
#include "../core/clock.hpp"
#include "../core/error.hpp"
#include "fwd.hpp"
#include "policy.hpp"
#include "target_table.hpp"

namespace mangopulley {

/*! @brief Reason why a request got no target. The request was not run. */
struct queue_error {
    enum class code : std::uint8_t {
        /*! @brief The deadline has passed, or no response can be expected before it. */
        deadline_passed,
        /*! @brief No target accepts new requests, now or later. */
        no_target,
        /*! @brief The dispatcher was stopped. */
        stopped
    };

    code code{code::no_target};
    std::string service{};
    std::string kind{};
    /*! @brief Time that the request waited. */
    duration waited{};
};

/*! @brief Request for a slot at a target. */
struct wait_request {
    std::string_view kind{};
    /*! @brief Owner of the request; owners share slot time equally. The owner of the service when empty. */
    std::string_view owner{};
    work_class work{work_class::normal};
    double worth{1.0};
    bool idempotent{};
    /*! @brief Whether the request can be hedged, so that it may be sent to a suspect target as a trial. */
    bool hedgeable{};
    time_point deadline{};
};

/*! @brief Right to send one request to a target; the destructor releases it. */
class slot {
public:
    slot() noexcept = default;
    slot(slot&& other) noexcept;
    slot& operator=(slot&& other) noexcept;
    slot(const slot&) = delete;
    slot& operator=(const slot&) = delete;
    /*! @brief Releases the slot as unused, unless `finish` was called. */
    ~slot();

    [[nodiscard]] const std::string& target_id() const noexcept { return this->id; }
    [[nodiscard]] const std::string& endpoint() const noexcept { return this->address; }

    /*! @brief Reports an abandoned attempt, and keeps the slot until the cancellation was sent to the target. */
    void record_outcome(const attempt_report& report);
    /*! @brief Releases the slot and reports on the attempt; later calls have no effect. */
    void finish(const attempt_report& report);

private:
    friend class dispatcher;
    slot(dispatcher& source, target_table::attempt& in_flight, std::string target, std::string endpoint) noexcept;

    dispatcher* owner{};
    target_table::attempt* held_attempt{};
    std::string id{};
    std::string address{};
};

/**
 * @brief Claim of a request in flight for a slot to hedge it.
 *
 * Claims take precedence over waiting requests: the claiming request is older, and the hedge budget bounds the number
 * of claims. The claiming thread waits for the response to its first attempt and polls the claim meanwhile. A claim
 * must be used by one thread at a time and must not outlive the dispatcher.
 */
class hedge_claim {
public:
    /**
     * @brief Registers a claim.
     * @param source Dispatcher.
     * @param request Request; its views must stay valid for the life of the claim.
     * @param excluded Ids of targets already tried.
     */
    hedge_claim(dispatcher& source, const wait_request& request, std::vector<std::string> excluded);
    hedge_claim(const hedge_claim&) = delete;
    hedge_claim& operator=(const hedge_claim&) = delete;
    /*! @brief Withdraws the claim and releases its slot if one was granted. */
    ~hedge_claim();

    /*! @brief Returns a slot and ends the claim once a target that is not suspect is free; nothing until then. */
    [[nodiscard]] std::optional<slot> poll();

private:
    friend class dispatcher;
    dispatcher& owner;
    wait_request request;
    std::vector<std::string> excluded;
    std::optional<slot> granted{};
};

/*! @brief Dispatcher state for the state dump. */
struct dispatcher_snapshot {
    std::string service{};
    std::string policy{};
    std::size_t waiting{};
    std::uint64_t granted{};
    /*! @brief Slots granted to requests that had to wait. */
    std::uint64_t granted_after_wait{};
    std::uint64_t deadline_passed{};
    std::uint64_t no_target{};
    std::vector<target_snapshot> targets{};
    std::vector<kind_snapshot> kinds{};
};

/**
 * @brief Assigns the targets of one service to requests, which wait in a queue until a target is free.
 *
 * Requests wait here rather than at a target, so that each goes to the first target that becomes free. Thread-safe;
 * each caller waits on its own condition variable and is woken only when its wait is over, and one of the waiting
 * threads polls for all of them. Slots must not outlive the dispatcher, and no thread may be in a call when it is
 * destroyed.
 */
class dispatcher {
public:
    /*! @brief Called with the id of a target when a response first says that the target drains. Must not block. */
    using draining_listener = std::function<void(std::string_view target)>;

    /**
     * @brief Creates a dispatcher without targets.
     * @param entry Catalogue entry of the service.
     * @param strategy Policy that chooses the targets.
     * @param time Clock; must outlive the dispatcher.
     * @param listener Called without the lock by the thread that finished the attempt.
     */
    dispatcher(const service_entry& entry, std::unique_ptr<policy> strategy, const clock& time,
               draining_listener listener = {});
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;
    ~dispatcher();

    /**
     * @brief Applies a changed catalogue entry.
     * @param entry Catalogue entry of the service.
     * @param strategy New policy; null keeps the current one.
     */
    void configure(const service_entry& entry, std::unique_ptr<policy> strategy);
    /*! @brief Replaces the targets of the service by the platform's list. */
    void update(std::span<const target_record> targets);
    /*! @brief Sets whether other instances send requests to the targets; see `target_table::expect_remote_requests`. */
    void expect_remote_requests(bool expected);
    /*! @brief Marks a target as draining on the report of another instance. */
    void mark_draining(std::string_view target);
    /*! @brief Records a load report received with a probe. */
    void report(std::string_view target, load_report load);
    /*! @brief Returns the live targets that this instance has sent no request to for longer than a given time. */
    [[nodiscard]] std::vector<target_record> idle_targets(duration longer_than) const;

    /**
     * @brief Waits for a target.
     * @param request Request; its views must stay valid until the call returns.
     * @return The slot, or `queue_error`.
     */
    [[nodiscard]] result<slot> acquire(const wait_request& request);

    /**
     * @brief Tries to get a slot for a retry or a hedge without waiting.
     * @param request Request.
     * @param excluded Ids of targets already tried.
     * @return The slot, or nothing when every free target is excluded or suspect.
     */
    [[nodiscard]] std::optional<slot> try_acquire_untried(const wait_request& request,
                                                          std::span<const std::string> excluded);

    /*! @brief Returns the time at which to hedge an attempt; see `target_table::hedge_time`. */
    [[nodiscard]] time_point hedge_time(const slot& in_flight, bool suspects_only) const;
    /*! @brief Returns the median response time of a kind; zero when it is not known. */
    [[nodiscard]] duration expected_response_time(std::string_view kind) const;

    /*! @brief Assigns free targets and fails late requests as of now; the waiting threads do so by themselves. */
    void expire();
    /*! @brief Fails all waiting and later requests with `stopped`; granted slots stay valid. */
    void stop() noexcept;

    [[nodiscard]] dispatcher_snapshot describe() const;

private:
    friend class slot;
    friend class hedge_claim;
    struct implementation;
    void record_outcome(target_table::attempt& abandoned, const attempt_report& report);
    void finish(target_table::attempt* ended_attempt, const attempt_report& report);

    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
