#include "dispatcher.hpp"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <utility>

#include "wait_queue.hpp"

namespace mangopulley {

namespace internal {

// Estimates that decay can free a target while no request ends; one waiting thread looks this often.
constexpr auto look_period = std::chrono::milliseconds{2};
// A non-idempotent request can't be rescued from a slow target, so it first waits a quarter of the median for a good
// one. Longer waits keep targets that have recovered out of use, which costs the median; shorter ones cost the 99.9th
// percentile.
constexpr auto shortest_wait = std::chrono::microseconds{200};
constexpr auto long_wait_unknown = std::chrono::milliseconds{2};

struct waiter : wait_ticket {
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
    /*! @brief Claims for second attempts, oldest first. */
    std::vector<second_claim*> claims{};
    std::vector<target_view> views{};
    /*! @brief The waiting thread that looks at the clock for all. */
    internal::waiter* timekeeper{};
    bool stopped{};
    std::uint64_t granted{};
    std::uint64_t granted_after_wait{};
    std::uint64_t deadline_passed{};
    std::uint64_t no_target{};

    implementation(dispatcher& self, const service_entry& entry, std::unique_ptr<policy> chosen, const clock& source,
                   draining_listener on_draining)
        : owner{self}, time{source}, listener{std::move(on_draining)}, service{entry.name},
          service_owner{entry.owner}, strategy{std::move(chosen)}, table{limits(entry)} {}

    [[nodiscard]] static target_limits limits(const service_entry& entry) noexcept {
        return {entry.slots_per_target, entry.connections_per_target};
    }

    [[nodiscard]] duration expected(const std::string_view kind) {
        const auto& times = this->table.times(kind);
        return times.known() ? times.median() : duration{};
    }

    [[nodiscard]] std::optional<slot> choose(const wait_request& request, const policy_request& asked,
                                             const std::span<const std::string> excluded, const time_point now) {
        this->table.view(excluded, now, this->views);
        const auto position = this->strategy->choose(this->views, asked);
        if (!position) {
            return std::nullopt;
        }
        auto* open = this->table.begin(this->views[*position].index, request.kind, now);
        ++this->granted;
        return slot{this->owner, *open, this->table.id(*open), this->table.endpoint(*open)};
    }

    [[nodiscard]] bool try_grant(internal::waiter& item, const time_point now) {
        const auto waited = now - item.since;
        const auto patience = item.expected.count() > 0 ? item.expected / 4 : duration{internal::long_wait_unknown};
        const wait_request request{item.kind,       item.owner,     item.work,    item.worth,
                                   item.idempotent, item.hedgeable, item.deadline};
        auto found = this->choose(request, {item.idempotent, item.hedgeable, waited >= patience, false}, {}, now);
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

    [[nodiscard]] static internal::waiter& waiter_of(const wait_ticket& ticket) noexcept {
        return const_cast<internal::waiter&>(static_cast<const internal::waiter&>(ticket));
    }

    void fail_all(const enum queue_error::code code) {
        for (const auto* ticket : this->queue.take_all()) {
            fail(waiter_of(*ticket), code);
        }
    }

    /*! @brief Tries to get a target for a second attempt. */
    [[nodiscard]] std::optional<slot> choose_other(const wait_request& request,
                                                   const std::span<const std::string> excluded, const time_point now) {
        if (this->stopped || now >= request.deadline) {
            return std::nullopt;
        }
        return this->choose(request, {request.idempotent, request.hedgeable, false, true}, excluded, now);
    }

    void serve_claims(const time_point now) {
        for (auto* claim : this->claims) {
            if (!claim->granted) {
                claim->granted = this->choose_other(claim->request, claim->excluded, now);
            }
        }
    }

    /*! @brief Gives free targets to waiting requests and fails those for which it is too late. */
    void place(const time_point now) {
        if (this->queue.size() == 0U) {
            return;
        }
        for (const auto* ticket : this->queue.take_hopeless(now)) {
            fail(waiter_of(*ticket), queue_error::code::deadline_passed);
        }
        if (!this->table.has_usable()) {
            this->fail_all(queue_error::code::no_target);
        }
        if (this->queue.size() > 0U) {
            this->serve_claims(now);
        }
        while (const auto* next = this->queue.best(false)) {
            if (this->try_grant(waiter_of(*next), now)) {
                continue;
            }
            // A target that is only good for a trial is offered to the first request that can be rescued from it.
            const auto* other = next->idempotent ? nullptr : this->queue.best(true);
            if (other == nullptr || !this->try_grant(waiter_of(*other), now)) {
                return;
            }
        }
    }

    void wait(internal::waiter& item, std::unique_lock<std::mutex>& lock) {
        while (item.waiting) {
            if (this->timekeeper == nullptr) {
                this->timekeeper = &item;
            }
            auto longest = item.deadline - item.expected - this->time.now();
            if (this->timekeeper == &item) {
                longest = std::min<duration>(longest, internal::look_period);
            }
            item.wake.wait_for(lock, std::max<duration>(longest, internal::shortest_wait));
            if (item.waiting) {
                this->place(this->time.now());
            }
        }
        if (this->timekeeper == &item) {
            const auto* next = this->queue.last();
            this->timekeeper = next == nullptr ? nullptr : &waiter_of(*next);
            if (this->timekeeper != nullptr) {
                this->timekeeper->wake.notify_one();
            }
        }
    }

    [[nodiscard]] boost::leaf::error_id error(const enum queue_error::code code, const wait_request& request,
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
    this->self->place(this->self->time.now());
}

void dispatcher::update(const std::span<const target_record> targets) {
    const std::lock_guard lock{this->self->guard};
    this->self->table.update(targets);
    this->self->place(this->self->time.now());
}

void dispatcher::expect_foreign(const bool expected) {
    const std::lock_guard lock{this->self->guard};
    this->self->table.expect_foreign(expected);
}

void dispatcher::notice_draining(const std::string_view target) {
    const std::lock_guard lock{this->self->guard};
    const auto now = this->self->time.now();
    static_cast<void>(this->self->table.mark_draining(target, now));
    this->self->place(now);
}

void dispatcher::report(const std::string_view target, const load_report load) {
    const std::lock_guard lock{this->self->guard};
    const auto now = this->self->time.now();
    this->self->table.report(target, load, now);
    this->self->place(now);
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
        return state.error(queue_error::code::stopped, request, {});
    }
    if (start >= request.deadline) {
        return state.error(queue_error::code::deadline_passed, request, {});
    }
    if (!state.table.has_usable()) {
        return state.error(queue_error::code::no_target, request, {});
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
    item.expected = state.expected(request.kind);
    item.since = start;
    item.hedgeable = request.hedgeable;
    state.queue.push(item);
    state.place(start);
    state.wait(item, lock);
    if (!item.granted) {
        return state.error(item.failure, request, state.time.now() - start);
    }
    return std::move(*item.granted);
}

std::optional<slot> dispatcher::try_acquire_other(const wait_request& request,
                                                  const std::span<const std::string> excluded) {
    const std::lock_guard lock{this->self->guard};
    return this->self->choose_other(request, excluded, this->self->time.now());
}

time_point dispatcher::hedge_time(const slot& open, const bool suspects_only) const {
    const std::lock_guard lock{this->self->guard};
    return this->self->table.hedge_time(*open.held, suspects_only, this->self->time.now());
}

duration dispatcher::expected_time(const std::string_view kind) const {
    const std::lock_guard lock{this->self->guard};
    return this->self->expected(kind);
}

void dispatcher::expire() {
    const std::lock_guard lock{this->self->guard};
    this->self->place(this->self->time.now());
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

void dispatcher::conclude(target_table::attempt& given_up, const observation& seen) {
    const std::lock_guard lock{this->self->guard};
    this->self->table.conclude(given_up, seen, this->self->time.now());
}

void dispatcher::finish(target_table::attempt* const ended, const observation& seen) {
    std::string drained{};
    {
        const std::lock_guard lock{this->self->guard};
        const auto now = this->self->time.now();
        drained = this->self->table.end(ended, seen, now);
        this->self->place(now);
    }
    if (!drained.empty() && this->self->listener) {
        this->self->listener(drained);
    }
}

second_claim::second_claim(dispatcher& source, const wait_request& wanted, std::vector<std::string> tried)
    : owner{source}, request{wanted}, excluded{std::move(tried)} {
    const std::lock_guard lock{this->owner.self->guard};
    this->owner.self->claims.push_back(this);
}

second_claim::~second_claim() {
    const std::lock_guard lock{this->owner.self->guard};
    std::erase(this->owner.self->claims, this);
}

std::optional<slot> second_claim::poll() {
    const std::lock_guard lock{this->owner.self->guard};
    auto found = this->granted
                     ? std::exchange(this->granted, std::nullopt)
                     : this->owner.self->choose_other(this->request, this->excluded, this->owner.self->time.now());
    if (found) {
        std::erase(this->owner.self->claims, this);
    }
    return found;
}

slot::slot(dispatcher& source, target_table::attempt& open, std::string target, std::string endpoint) noexcept
    : owner{&source}, held{&open}, id{std::move(target)}, address{std::move(endpoint)} {}

slot::slot(slot&& other) noexcept
    : owner{other.owner}, held{std::exchange(other.held, nullptr)}, id{std::move(other.id)}, address{std::move(
                                                                                                 other.address)} {}

slot& slot::operator=(slot&& other) noexcept {
    if (this != &other) {
        this->finish({});
        this->owner = other.owner;
        this->held = std::exchange(other.held, nullptr);
        this->id = std::move(other.id);
        this->address = std::move(other.address);
    }
    return *this;
}

slot::~slot() {
    this->finish({});
}

void slot::conclude(const observation& seen) {
    if (this->held != nullptr) {
        this->owner->conclude(*this->held, seen);
    }
}

void slot::finish(const observation& seen) {
    if (this->held != nullptr) {
        this->owner->finish(std::exchange(this->held, nullptr), seen);
    }
}

} // namespace mangopulley
