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

#include "../catalogue/document.hpp"
#include "../core/clock.hpp"
#include "../core/error.hpp"
#include "fwd.hpp"
#include "policy.hpp"
#include "target_table.hpp"

namespace mangopulley {

/*! @brief Why a request got no target; it was not run. */
struct queue_error {
    enum class code : std::uint8_t {
        /*! @brief The deadline has passed, or no answer can be expected before it. */
        deadline_passed,
        /*! @brief Every target is gone or leaving. */
        no_target,
        /*! @brief The dispatcher was stopped. */
        stopped
    };

    code code{code::no_target};
    std::string service{};
    std::string kind{};
    /*! @brief How long the request waited. */
    duration waited{};
};

/*! @brief Request that needs a target. */
struct wait_request {
    std::string_view kind{};
    /*! @brief Whose request it is; owners share slots equally. The owner of the service when empty. */
    std::string_view owner{};
    work_class work{work_class::normal};
    double worth{1.0};
    bool idempotent{};
    /*! @brief Whether a second attempt could rescue the request, so that a suspect target may be tried with it. */
    bool hedgeable{};
    time_point deadline{};
};

/*! @brief Right to send one request to a target; gives the right back at the end of its life. */
class slot {
public:
    slot() noexcept = default;
    slot(slot&& other) noexcept;
    slot& operator=(slot&& other) noexcept;
    slot(const slot&) = delete;
    slot& operator=(const slot&) = delete;
    /*! @brief Gives the right back as not used, unless `finish` was called. */
    ~slot();

    [[nodiscard]] const std::string& target_id() const noexcept { return this->id; }
    [[nodiscard]] const std::string& endpoint() const noexcept { return this->address; }

    /*! @brief Reports an attempt that was given up, and keeps the right until its target has been told. */
    void conclude(const observation& seen);
    /*! @brief Gives the right back and reports what the attempt showed; later calls have no effect. */
    void finish(const observation& seen);

private:
    friend class dispatcher;
    slot(dispatcher& source, target_table::attempt& open, std::string target, std::string endpoint) noexcept;

    dispatcher* owner{};
    target_table::attempt* held{};
    std::string id{};
    std::string address{};
};

/**
 * @brief Claim of a request in flight on a target for a second attempt at it.
 *
 * A claim comes before the requests that wait: its request is older than they are, and the hedge budget bounds how many
 * there are. The claiming thread waits for an answer meanwhile, so it asks from time to time. One thread at a time may
 * use a claim, and it must not outlive the dispatcher.
 */
class second_claim {
public:
    /**
     * @brief Makes a claim.
     * @param source Dispatcher.
     * @param request Request; its views must stay valid for the life of the claim.
     * @param excluded Ids of targets already tried.
     */
    second_claim(dispatcher& source, const wait_request& request, std::vector<std::string> excluded);
    second_claim(const second_claim&) = delete;
    second_claim& operator=(const second_claim&) = delete;
    /*! @brief Gives the claim up, with its slot if there is one. */
    ~second_claim();

    /*! @brief Returns the right to send once more when a target that is not suspect is free; ends the claim then. */
    [[nodiscard]] std::optional<slot> poll();

private:
    friend class dispatcher;
    dispatcher& owner;
    wait_request request;
    std::vector<std::string> excluded;
    std::optional<slot> granted{};
};

/*! @brief State of a dispatcher for the state dump. */
struct dispatcher_snapshot {
    std::string service{};
    std::string policy{};
    std::size_t waiting{};
    std::uint64_t granted{};
    /*! @brief Grants to requests that had to wait. */
    std::uint64_t granted_after_wait{};
    std::uint64_t deadline_passed{};
    std::uint64_t no_target{};
    std::vector<target_snapshot> targets{};
    std::vector<kind_snapshot> kinds{};
};

/**
 * @brief Hands out the targets of one service to waiting requests.
 *
 * A request waits here rather than at a target, so that it goes to whichever target is free first. Any number of
 * threads may call; each waits on a condition variable of its own and is woken only when its wait is over. One of the
 * waiting threads looks at the clock for all of them. Slots must not outlive the dispatcher, and no thread may be in a
 * call when it is destroyed.
 */
class dispatcher {
public:
    /*! @brief Called with the id of a target that has said for the first time that it drains. Must return at once. */
    using draining_listener = std::function<void(std::string_view target)>;

    /**
     * @brief Prepares a dispatcher without targets.
     * @param entry Catalogue entry of the service.
     * @param strategy Choice of target.
     * @param time Clock; must outlive the dispatcher.
     * @param listener Called outside the lock by the thread that read the answer.
     */
    dispatcher(const service_entry& entry, std::unique_ptr<policy> strategy, const clock& time,
               draining_listener listener = {});
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;
    ~dispatcher();

    /**
     * @brief Puts a changed catalogue entry in force.
     * @param entry Entry.
     * @param strategy New policy; null keeps the present one.
     */
    void configure(const service_entry& entry, std::unique_ptr<policy> strategy);
    /*! @brief Takes over the platform's list of the service's targets. */
    void update(std::span<const target_record> targets);
    /*! @brief States whether other instances send requests to the targets; see `target_table::expect_foreign`. */
    void expect_foreign(bool expected);
    /*! @brief Takes in another instance's word that a target drains. */
    void notice_draining(std::string_view target);
    /*! @brief Takes in a load report that came with a probe. */
    void report(std::string_view target, load_report load);
    /*! @brief Lists live targets that this instance has sent nothing to for a while. */
    [[nodiscard]] std::vector<target_record> idle_targets(duration longer_than) const;

    /**
     * @brief Waits for a target.
     * @param request Request; its views must stay valid until the call returns.
     * @return The right to send one request, or `queue_error`.
     */
    [[nodiscard]] result<slot> acquire(const wait_request& request);

    /**
     * @brief Gets a target for a second attempt without waiting.
     * @param request Request.
     * @param excluded Ids of targets already tried.
     * @return The right to send one request, or nothing when no target that is not suspect is free.
     */
    [[nodiscard]] std::optional<slot> try_acquire_other(const wait_request& request,
                                                        std::span<const std::string> excluded);

    /*! @brief Returns when a second attempt is worth its cost; see `target_table::hedge_time`. */
    [[nodiscard]] time_point hedge_time(const slot& open, bool suspects_only) const;
    /*! @brief Returns the median answer time of a kind; zero when it is not known. */
    [[nodiscard]] duration expected_time(std::string_view kind) const;

    /*! @brief Reconsiders all waiting requests at the present time; the waiting threads do so by themselves. */
    void expire();
    /*! @brief Fails all waiting and all later requests with `stopped`; slots stay valid. */
    void stop() noexcept;

    [[nodiscard]] dispatcher_snapshot describe() const;

private:
    friend class slot;
    friend class second_claim;
    struct implementation;
    void conclude(target_table::attempt& given_up, const observation& seen);
    void finish(target_table::attempt* ended, const observation& seen);

    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
