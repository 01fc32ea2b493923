#include "dispatcher.hpp"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <utility>

#include "wait_queue.hpp"

namespace mangopulley {

namespace internal {

// A decaying load estimate can free a target without any request ending, so one waiting thread polls at this interval.
constexpr auto poll_interval = std::chrono::milliseconds{2};
constexpr auto min_wait = std::chrono::microseconds{200};
// A non-idempotent request can't be hedged, so it waits a quarter of the median response time before it accepts a
// target that is avoided as suspect; this is the wait while the median is unknown. Longer waits keep recovered targets
// out of use and raise the median latency; shorter ones raise the 99.9th percentile.
constexpr auto default_long_wait = std::chrono::milliseconds{2};

struct waiter : queued_request {
    std::condition_variable wake{};
    bool hedgeable{};
    bool waiting{true};
    std::optional<slot> granted{};
    enum queue_error::code failure{queue_error::code::no_target};
};

} // namespace internal

struct dispatcher::implementation {
    dispatcher& owner;
    const clock& time;
    draining_listener listener;
    mutable std::mutex guard{};
    std::string service;
    std::string service_owner;
    std::unique_ptr<policy> strategy;
    target_table table;
    wait_queue queue{};
    /*! @brief Claims for hedges, oldest first. */
    std::vector<hedge_claim*> claims{};
    std::vector<target_view> views{};
    /*! @brief The waiting thread that polls on behalf of all others. */
    internal::waiter* poller{};
    bool stopped{};
    std::uint64_t granted{};
    std::uint64_t granted_after_wait{};
    std::uint64_t deadline_passed{};
    std::uint64_t no_target{};

    implementation(dispatcher& self, const service_entry& entry, std::unique_ptr<policy> chosen, const clock& source,
                   draining_listener drain_listener)
        : owner{self}, time{source}, listener{std::move(drain_listener)}, service{entry.name},
          service_owner{entry.owner}, strategy{std::move(chosen)}, table{limits(entry)} {}

    [[nodiscard]] static target_limits limits(const service_entry& entry) noexcept {
        return {entry.slots_per_target, entry.connections_per_target};
    }

    [[nodiscard]] duration expected_response_time(const std::string_view kind) {
        const auto& times = this->table.times(kind);
        return times.known() ? times.median() : duration{};
    }

    [[nodiscard]] std::optional<slot> choose(const wait_request& request, const policy_request& criteria,
                                             const std::span<const std::string> excluded, const time_point now) {
        this->table.view(excluded, now, this->views);
        const auto position = this->strategy->choose(this->views, criteria);
        if (!position) {
            return std::nullopt;
        }
        auto* in_flight = this->table.begin(this->views[*position].index, request.kind, now);
        ++this->granted;
        return slot{this->owner, *in_flight, this->table.id(*in_flight), this->table.endpoint(*in_flight)};
    }

    [[nodiscard]] bool try_grant(internal::waiter& item, const time_point now) {
        const auto waited = now - item.since;
        const auto long_wait = item.expected_response_time.count() > 0 ? item.expected_response_time / 4
                                                                       : duration{internal::default_long_wait};
        const wait_request request{item.kind,       item.owner,     item.work,    item.worth,
                                   item.idempotent, item.hedgeable, item.deadline};
        auto found = this->choose(request, {item.idempotent, item.hedgeable, waited >= long_wait, false}, {}, now);
        if (!found) {
            return false;
        }
        this->queue.serve(item);
        ++this->granted_after_wait;
        item.granted = std::move(found);
        item.waiting = false;
        item.wake.notify_one();
        return true;
    }

    static void fail(internal::waiter& item, const enum queue_error::code code) {
        item.failure = code;
        item.waiting = false;
        item.wake.notify_one();
    }

    [[nodiscard]] static internal::waiter& waiter_of(const queued_request& queued) noexcept {
        return const_cast<internal::waiter&>(static_cast<const internal::waiter&>(queued));
    }

    void fail_all(const enum queue_error::code code) {
        for (const auto* queued : this->queue.remove_all()) {
            fail(waiter_of(*queued), code);
        }
    }

    /*! @brief Tries to get a target for a retry or a hedge. */
    [[nodiscard]] std::optional<slot>
    choose_untried(const wait_request& request, const std::span<const std::string> excluded, const time_point now) {
        if (this->stopped || now >= request.deadline) {
            return std::nullopt;
        }
        return this->choose(request, {request.idempotent, request.hedgeable, false, true}, excluded, now);
    }

    void grant_claims(const time_point now) {
        for (auto* claim : this->claims) {
            if (!claim->granted) {
                claim->granted = this->choose_untried(claim->request, claim->excluded, now);
            }
        }
    }

    /*! @brief Assigns free targets to waiting requests and fails those that cannot meet their deadline. */
    void assign_targets(const time_point now) {
        if (this->queue.size() == 0U) {
            return;
        }
        for (const auto* queued : this->queue.remove_unmeetable(now)) {
            fail(waiter_of(*queued), queue_error::code::deadline_passed);
        }
        if (!this->table.has_usable()) {
            this->fail_all(queue_error::code::no_target);
        }
        if (this->queue.size() > 0U) {
            this->grant_claims(now);
        }
        while (const auto* next = this->queue.best(false)) {
            if (this->try_grant(waiter_of(*next), now)) {
                continue;
            }
            // A target that is only open for a trial is offered to the first idempotent request, which can be retried.
            const auto* other = next->idempotent ? nullptr : this->queue.best(true);
            if (other == nullptr || !this->try_grant(waiter_of(*other), now)) {
                return;
            }
        }
    }

    void wait(internal::waiter& item, std::unique_lock<std::mutex>& lock) {
        while (item.waiting) {
            if (this->poller == nullptr) {
                this->poller = &item;
            }
            auto timeout = item.deadline - item.expected_response_time - this->time.now();
            if (this->poller == &item) {
                timeout = std::min<duration>(timeout, internal::poll_interval);
            }
            item.wake.wait_for(lock, std::max<duration>(timeout, internal::min_wait));
            if (item.waiting) {
                this->assign_targets(this->time.now());
            }
        }
        if (this->poller == &item) {
            const auto* next = this->queue.lowest_priority();
            this->poller = next == nullptr ? nullptr : &waiter_of(*next);
            if (this->poller != nullptr) {
                this->poller->wake.notify_one();
            }
        }
    }

    [[nodiscard]] boost::leaf::error_id make_error(const enum queue_error::code code, const wait_request& request,
                                                   const duration waited) {
        this->deadline_passed += code == queue_error::code::deadline_passed ? 1U : 0U;
        this->no_target += code == queue_error::code::no_target ? 1U : 0U;
        return boost::leaf::new_error(queue_error{code, this->service, std::string{request.kind}, waited});
    }
};

dispatcher::dispatcher(const service_entry& entry, std::unique_ptr<policy> strategy, const clock& time,
                       draining_listener listener)
    : self{std::make_unique<implementation>(*this, entry, std::move(strategy), time, std::move(listener))} {}

dispatcher::~dispatcher() {
    this->stop();
}

void dispatcher::configure(const service_entry& entry, std::unique_ptr<policy> strategy) {
    const std::lock_guard lock{this->self->guard};
    this->self->service_owner = entry.owner;
    this->self->table.configure(implementation::limits(entry));
    if (strategy) {
        this->self->strategy = std::move(strategy);
    }
    this->self->assign_targets(this->self->time.now());
}

void dispatcher::update(const std::span<const target_record> targets) {
    const std::lock_guard lock{this->self->guard};
    this->self->table.update(targets);
    this->self->assign_targets(this->self->time.now());
}

void dispatcher::expect_remote_requests(const bool expected) {
    const std::lock_guard lock{this->self->guard};
    this->self->table.expect_remote_requests(expected);
}

void dispatcher::mark_draining(const std::string_view target) {
    const std::lock_guard lock{this->self->guard};
    const auto now = this->self->time.now();
    static_cast<void>(this->self->table.mark_draining(target, now));
    this->self->assign_targets(now);
}

void dispatcher::report(const std::string_view target, const load_report load) {
    const std::lock_guard lock{this->self->guard};
    const auto now = this->self->time.now();
    this->self->table.report(target, load, now);
    this->self->assign_targets(now);
}

std::vector<target_record> dispatcher::idle_targets(const duration longer_than) const {
    const std::lock_guard lock{this->self->guard};
    return this->self->table.idle(longer_than, this->self->time.now());
}

result<slot> dispatcher::acquire(const wait_request& request) {
    auto& state = *this->self;
    std::unique_lock lock{state.guard};
    const auto start = state.time.now();
    if (state.stopped) {
        return state.make_error(queue_error::code::stopped, request, {});
    }
    if (start >= request.deadline) {
        return state.make_error(queue_error::code::deadline_passed, request, {});
    }
    if (!state.table.has_usable()) {
        return state.make_error(queue_error::code::no_target, request, {});
    }
    if (state.queue.size() == 0U) {
        if (auto found = state.choose(request, {request.idempotent, request.hedgeable, false, false}, {}, start)) {
            return std::move(*found);
        }
    }
    internal::waiter item{};
    item.kind = request.kind;
    const std::string owner{request.owner.empty() ? std::string_view{state.service_owner} : request.owner};
    item.owner = owner;
    item.work = request.work;
    item.worth = request.worth;
    item.idempotent = request.idempotent;
    item.deadline = request.deadline;
    item.expected_response_time = state.expected_response_time(request.kind);
    item.since = start;
    item.hedgeable = request.hedgeable;
    state.queue.push(item);
    state.assign_targets(start);
    state.wait(item, lock);
    if (!item.granted) {
        return state.make_error(item.failure, request, state.time.now() - start);
    }
    return std::move(*item.granted);
}

std::optional<slot> dispatcher::try_acquire_untried(const wait_request& request,
                                                    const std::span<const std::string> excluded) {
    const std::lock_guard lock{this->self->guard};
    return this->self->choose_untried(request, excluded, this->self->time.now());
}

time_point dispatcher::hedge_time(const slot& in_flight, const bool suspects_only) const {
    const std::lock_guard lock{this->self->guard};
    return this->self->table.hedge_time(*in_flight.held_attempt, suspects_only, this->self->time.now());
}

duration dispatcher::expected_response_time(const std::string_view kind) const {
    const std::lock_guard lock{this->self->guard};
    return this->self->expected_response_time(kind);
}

void dispatcher::expire() {
    const std::lock_guard lock{this->self->guard};
    this->self->assign_targets(this->self->time.now());
}

void dispatcher::stop() noexcept {
    const std::lock_guard lock{this->self->guard};
    this->self->stopped = true;
    this->self->fail_all(queue_error::code::stopped);
}

dispatcher_snapshot dispatcher::describe() const {
    const std::lock_guard lock{this->self->guard};
    const auto& state = *this->self;
    const auto now = state.time.now();
    return {state.service,
            std::string{state.strategy->name()},
            state.queue.size(),
            state.granted,
            state.granted_after_wait,
            state.deadline_passed,
            state.no_target,
            state.table.describe(now),
            state.table.describe_kinds()};
}

void dispatcher::record_outcome(target_table::attempt& abandoned, const attempt_report& report) {
    const std::lock_guard lock{this->self->guard};
    this->self->table.record_outcome(abandoned, report, this->self->time.now());
}

void dispatcher::finish(target_table::attempt* const ended_attempt, const attempt_report& report) {
    std::string drained{};
    {
        const std::lock_guard lock{this->self->guard};
        const auto now = this->self->time.now();
        drained = this->self->table.end(ended_attempt, report, now);
        this->self->assign_targets(now);
    }
    if (!drained.empty() && this->self->listener) {
        this->self->listener(drained);
    }
}

hedge_claim::hedge_claim(dispatcher& source, const wait_request& waiting_request,
                         std::vector<std::string> tried_targets)
    : owner{source}, request{waiting_request}, excluded{std::move(tried_targets)} {
    const std::lock_guard lock{this->owner.self->guard};
    this->owner.self->claims.push_back(this);
}

hedge_claim::~hedge_claim() {
    const std::lock_guard lock{this->owner.self->guard};
    std::erase(this->owner.self->claims, this);
}

std::optional<slot> hedge_claim::poll() {
    const std::lock_guard lock{this->owner.self->guard};
    auto found = this->granted
                     ? std::exchange(this->granted, std::nullopt)
                     : this->owner.self->choose_untried(this->request, this->excluded, this->owner.self->time.now());
    if (found) {
        std::erase(this->owner.self->claims, this);
    }
    return found;
}

slot::slot(dispatcher& source, target_table::attempt& in_flight, std::string target, std::string endpoint) noexcept
    : owner{&source}, held_attempt{&in_flight}, id{std::move(target)}, address{std::move(endpoint)} {}

slot::slot(slot&& other) noexcept
    : owner{other.owner}, held_attempt{std::exchange(other.held_attempt, nullptr)}, id{std::move(other.id)},
      address{std::move(other.address)} {}

slot& slot::operator=(slot&& other) noexcept {
    if (this != &other) {
        this->finish({});
        this->owner = other.owner;
        this->held_attempt = std::exchange(other.held_attempt, nullptr);
        this->id = std::move(other.id);
        this->address = std::move(other.address);
    }
    return *this;
}

slot::~slot() {
    this->finish({});
}

void slot::record_outcome(const attempt_report& report) {
    if (this->held_attempt != nullptr) {
        this->owner->record_outcome(*this->held_attempt, report);
    }
}

void slot::finish(const attempt_report& report) {
    if (this->held_attempt != nullptr) {
        this->owner->finish(std::exchange(this->held_attempt, nullptr), report);
    }
}

} // namespace mangopulley
