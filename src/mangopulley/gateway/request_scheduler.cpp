#include "request_scheduler.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <string_view>
#include <utility>

#include "fair_order.hpp"

namespace mangopulley {

namespace internal {

namespace {

constexpr double completion_weight = 0.05;
constexpr duration shortest_retry_after{std::chrono::milliseconds{100}};
constexpr duration longest_retry_after{std::chrono::seconds{2}};
// Retry delay when no target is known: target lists are read about once a second.
constexpr duration no_target_retry_after{std::chrono::milliseconds{500}};
// Callers that are told of a pause return within this share of it after its end.
constexpr double pause_spread = 0.25;

/*! @brief Sequence of numbers from 0 to 1 of which any few in a row lie far apart. */
class spread_sequence {
public:
    [[nodiscard]] double next() noexcept {
        constexpr double golden_ratio_fraction = 0.618'033'988'75;
        this->value += golden_ratio_fraction;
        this->value -= std::floor(this->value);
        return this->value;
    }

private:
    double value{};
};

/*! @brief Token bucket for probes; holds at most the tokens of half a second. */
class probe_token_bucket {
public:
    void refill(const time_point now, const double per_second) noexcept {
        const auto passed = std::chrono::duration<double>(now - this->refilled).count();
        this->refilled = now;
        this->tokens = std::min(this->tokens + std::max(passed, 0.0) * per_second, std::max(per_second * 0.5, 1.0));
    }

    [[nodiscard]] bool try_take() noexcept {
        if (this->tokens < 1.0) {
            return false;
        }
        this->tokens -= 1.0;
        return true;
    }

private:
    double tokens{};
    time_point refilled{};
};

/*! @brief Late requests that stay in the queue under congestion, because their team is served too seldom. */
class late_admission {
public:
    late_admission(const fair_order& used, const bool has_several_teams) noexcept
        : order{used}, several{has_several_teams} {}

    /*! @brief Returns whether another late request of the item's team and priority stays. */
    [[nodiscard]] bool try_take(const waiting_request& item) {
        return this->several && ++this->taken[{item.team, item.priority}] <= this->order.preferred(item);
    }

private:
    const fair_order& order;
    bool several;
    std::map<std::pair<std::string_view, std::uint64_t>, std::size_t> taken{};
};

} // namespace

} // namespace internal

struct request_scheduler::implementation {
    target_pool pool;
    scheduling_rule rule;
    callbacks hooks;
    std::vector<request> queue{};
    fair_order order{};
    internal::probe_token_bucket probes{};
    internal::spread_sequence spread{};
    /*! @brief Moving average of the time that a request occupies a slot. */
    duration mean_slot_time{};

    [[nodiscard]] duration scaled(const duration work, const double factor) const noexcept {
        return std::chrono::duration_cast<duration>(work * factor);
    }

    [[nodiscard]] std::size_t in_flight() const noexcept {
        std::size_t total = 0U;
        for (const auto& target : this->pool.targets()) {
            total += target->in_flight;
        }
        return total;
    }

    /*! @brief Returns the share of the slots that requests of all instances occupy. */
    [[nodiscard]] double busy_share(const time_point now) const noexcept {
        std::size_t busy = 0U;
        for (const auto& target : this->pool.targets()) {
            busy += target->accepts_work(now) ? target->in_flight + target->remote_in_flight : 0U;
        }
        const auto slots = this->pool.slots(now);
        return slots == 0U ? 1.0 : static_cast<double>(busy) / static_cast<double>(slots);
    }

    /*! @brief Estimates how long a request waits for a slot behind `ahead` queued requests. */
    [[nodiscard]] duration wait_behind(const std::size_t ahead, const time_point now) const noexcept {
        const auto slots = this->pool.slots(now);
        const auto busy = this->in_flight();
        if (slots == 0U || busy + ahead < slots) {
            return duration::zero();
        }
        const auto turns = static_cast<double>(busy + ahead + 1U - slots) / static_cast<double>(slots);
        return this->scaled(this->mean_slot_time, turns);
    }

    /*! @brief Estimates how long a request that joins the queue now waits for a slot. */
    [[nodiscard]] duration expected_wait(const waiting_request& item, const time_point now) const {
        return this->wait_behind(this->order.ahead_of(item, this->queue), now);
    }

    [[nodiscard]] refusal make_refusal(const refusal_reason reason, const duration wait) const noexcept {
        return {reason, std::clamp(wait, internal::shortest_retry_after, internal::longest_retry_after)};
    }

    /*! @brief Refuses a request for which no target is left. */
    [[nodiscard]] refusal refuse_without_target(const waiting_request& item, internal::spread_sequence& sequence,
                                                const time_point now) const noexcept {
        if (const auto left = this->pause_left(item.tried, sequence, now)) {
            return {refusal_reason::paused, *left};
        }
        return {refusal_reason::no_target, internal::no_target_retry_after};
    }

    [[nodiscard]] std::optional<duration> pause_left(const std::span<const std::string> tried,
                                                     internal::spread_sequence& sequence,
                                                     const time_point now) const noexcept {
        const auto end = this->pool.end_of_pause(tried, now);
        return end ? std::optional{this->scaled(*end - now, 1.0 + internal::pause_spread * sequence.next())}
                   : std::nullopt;
    }

    [[nodiscard]] bool late(const waiting_request& item, const time_point now) const noexcept {
        return now + this->scaled(item.work, this->rule.late_margin) > item.latency_goal;
    }

    /*!
     * @brief Orders the queue.
     *
     * While the queue is overloaded, the latest goal comes first: with the earliest first, every request of a burst
     * above the service's capacity would be served just after it became late.
     */
    void sort(const time_point now) {
        this->order.arrange(this->queue, {[this, now](const waiting_request& item) { return this->late(item, now); },
                                          this->overloaded(now)});
    }

    /*! @brief Returns whether a request has waited so long that not all requests can meet their latency goals. */
    [[nodiscard]] bool overloaded(const time_point now) const noexcept {
        return std::any_of(this->queue.begin(), this->queue.end(), [this, now](const request& item) {
            const auto time_to_goal = item->latency_goal - item->arrived;
            // A request that was late on arrival does not indicate a long queue.
            const bool was_on_time = time_to_goal > this->scaled(item->work, this->rule.late_margin);
            return was_on_time && now - item->arrived > this->scaled(time_to_goal, this->rule.overload_wait_share);
        });
    }

    struct congestion {
        bool overloaded{};
        bool targets_busy{};

        [[nodiscard]] bool any() const noexcept { return this->overloaded || this->targets_busy; }
    };

    /*! @brief Returns why a request is to be refused, or nothing when a useful response is still possible. */
    [[nodiscard]] std::optional<refusal_reason>
    refusal_reason_for(const waiting_request& item, const congestion& current, const time_point now) const {
        if (!this->pool.has_usable(item.tried, now)) {
            return refusal_reason::no_target;
        }
        if (now + this->scaled(item.work, this->rule.min_work_share) > item.deadline) {
            return refusal_reason::out_of_time;
        }
        // A late response has little value, and requests that can meet their goal soon need its slot.
        // A team's request that was refused before waits behind timely ones, unless these are too many already.
        const bool waits_its_turn = item.returning && !item.team.empty();
        if ((waits_its_turn ? current.overloaded : current.any()) && this->late(item, now)) {
            return refusal_reason::overloaded;
        }
        return std::nullopt;
    }

    /*! @brief Takes the requests that are to be refused out of a queue. */
    [[nodiscard]] std::vector<std::pair<request, refusal_reason>> take_unservable(std::vector<request>& from,
                                                                                  const time_point now) const {
        std::vector<std::pair<request, refusal_reason>> refused{};
        const congestion current{this->overloaded(now), this->busy_share(now) > this->rule.max_busy_share_for_late};
        internal::late_admission late{this->order, fair_order::has_several_teams(from)};
        std::erase_if(from, [&](const request& item) {
            const auto reason = this->refusal_reason_for(*item, current, now);
            if (reason == refusal_reason::overloaded && late.try_take(*item)) {
                return false;
            }
            if (reason) {
                refused.emplace_back(item, *reason);
            }
            return reason.has_value();
        });
        return refused;
    }

    /*! @brief Returns the refusal of a request that cannot stay in a queue. */
    [[nodiscard]] refusal refuse_from(const std::span<const request> from, const waiting_request& item,
                                      const refusal_reason reason, internal::spread_sequence& sequence,
                                      const time_point now) const {
        return reason == refusal_reason::no_target
                   ? this->refuse_without_target(item, sequence, now)
                   : this->make_refusal(reason, this->wait_behind(this->order.ahead_of(item, from), now));
    }

    void refuse_unservable(const time_point now) {
        for (const auto& [item, reason] : this->take_unservable(this->queue, now)) {
            this->hooks.refuse(item, this->refuse_from(this->queue, *item, reason, this->spread, now));
        }
    }

    /*! @brief Returns the refusal that a request gets on arrival, or nothing if it joins the queue. */
    [[nodiscard]] std::optional<refusal>
    refuse_on_arrival(const waiting_request& item, internal::spread_sequence& sequence, const time_point now) const {
        if (!this->pool.has_usable(item.tried, now)) {
            return this->refuse_without_target(item, sequence, now);
        }
        const auto wait = this->expected_wait(item, now);
        if (now + wait + this->scaled(item.work, this->rule.min_work_share) > item.deadline) {
            return this->make_refusal(refusal_reason::overloaded, wait);
        }
        return std::nullopt;
    }

    void send_probes(const target_pool::criteria& wanted, const time_point now) {
        for (const auto& target : this->pool.probe_candidates(wanted, this->rule.probes_per_request, now)) {
            if (!this->probes.try_take()) {
                return;
            }
            target->probe_pending = true;
            this->hooks.probe(target);
        }
    }

    [[nodiscard]] std::size_t pending_probes() const noexcept {
        const auto all = this->pool.targets();
        return static_cast<std::size_t>(std::count_if(
            all.begin(), all.end(), [](const target_pool::handle& target) { return target->probe_pending; }));
    }

    /*! @brief Returns the target to send a request to now, or nothing when it is better to wait. */
    [[nodiscard]] target_pool::handle decide(const waiting_request& item, const std::size_t position,
                                             const time_point now) {
        const auto found = this->find_candidates(item, now);
        if (found.settled) {
            return found.target;
        }
        if (this->wants_probes(position)) {
            this->send_probes({item.work, item.tried, false}, now);
        }
        return this->choose(item, found, this->pending_probes() > 0U, now);
    }

    /*! @brief Free targets that come into question for a request. */
    struct candidates {
        /*! @brief Whether no probe is needed to choose `target`, which is null if none is free. */
        bool settled{};
        target_pool::handle target{};
        std::optional<target_pool::estimate> fresh{};
        std::optional<target_pool::estimate> any{};
    };

    [[nodiscard]] bool wants_probes(const std::size_t position) const noexcept {
        return this->pending_probes() < this->rule.probes_per_request * (position + 1U);
    }

    [[nodiscard]] candidates find_candidates(const waiting_request& item, const time_point now) const {
        target_pool::criteria wanted{item.work, item.tried, true};
        const bool reports = this->pool.reports_load();
        const auto fresh = reports ? this->pool.best(wanted, now) : std::nullopt;
        if (fresh && fresh->expected <= this->scaled(item.work, this->rule.acceptable_factor)) {
            return {true, fresh->target, fresh, std::nullopt};
        }
        wanted.fresh_only = false;
        const auto any = this->pool.best(wanted, now);
        if (!any || !reports) {
            return {true, any ? any->target : nullptr, fresh, any};
        }
        return {false, nullptr, fresh, any};
    }

    /*! @brief Returns the target to send a request to after probes were considered, or nothing when it is better to
     * wait. */
    [[nodiscard]] target_pool::handle choose(const waiting_request& item, const candidates& found,
                                             const bool probes_pending, const time_point now) const {
        const bool awaiting_probe = probes_pending && now - item.arrived < this->rule.max_probe_wait;
        if (awaiting_probe) {
            return nullptr;
        }
        const auto& [settled, target, fresh, any] = found;
        const auto& choice = fresh ? fresh : any;
        // A host without a fresh reading most likely has no slowdown; waiting pays off only for one known to be slow.
        const auto likely = fresh ? choice->expected : std::min<duration>(choice->expected, item.work);
        const bool meets_goal = now + likely <= item.latency_goal;
        const bool may_wait = item.latency_goal - now > this->scaled(item.work, this->rule.waiting_margin);
        if (!meets_goal && may_wait) {
            return nullptr;
        }
        return choice->target;
    }

    /*! @brief Returns the targets that `send_probes` would probe. */
    [[nodiscard]] std::vector<target_pool::handle> probes_for(const waiting_request& item, const time_point now) const {
        auto found = this->pool.probe_candidates({item.work, item.tried, false}, this->rule.probes_per_request, now);
        auto tokens = this->probes;
        tokens.refill(now, this->rule.probes_per_target * static_cast<double>(this->pool.usable(now)));
        std::size_t allowed = 0U;
        while (allowed < found.size() && tokens.try_take()) {
            ++allowed;
        }
        found.resize(allowed);
        return found;
    }

    /*! @brief Returns the refusal that a request would get at once, or nothing. */
    [[nodiscard]] std::optional<refusal> preview_refusal(const waiting_request& item, const time_point now) const {
        auto sequence = this->spread;
        if (auto refused = this->refuse_on_arrival(item, sequence, now)) {
            return refused;
        }
        auto waiting = this->queue;
        const auto added = std::make_shared<waiting_request>(item);
        waiting.push_back(added);
        for (const auto& [refused, reason] : this->take_unservable(waiting, now)) {
            if (refused == added) {
                return this->refuse_from(waiting, item, reason, sequence, now);
            }
        }
        return std::nullopt;
    }

    [[nodiscard]] request_preview preview(const waiting_request& item, const time_point now) const {
        request_preview result{};
        result.waiting = this->queue.size();
        result.ahead = this->order.ahead_of(item, this->queue);
        result.expected_wait = this->wait_behind(result.ahead, now);
        result.refused = this->preview_refusal(item, now);
        target_pool::criteria wanted{item.work, item.tried, false};
        target_pool::handle chosen{};
        std::vector<target_pool::handle> probed{};
        if (!result.refused) {
            result.step = next_step::waits;
        }
        // Requests ahead take the free targets first, so that the choice for this one is not known yet.
        if (!result.refused && result.ahead == 0U) {
            const auto found = this->find_candidates(item, now);
            if (!found.settled && this->wants_probes(result.ahead)) {
                probed = this->probes_for(item, now);
            }
            const bool pending = this->pending_probes() > 0U || !probed.empty();
            chosen = found.settled ? found.target : this->choose(item, found, pending, now);
            wanted.fresh_only = chosen != nullptr && found.fresh && found.fresh->target == chosen;
            if (chosen != nullptr) {
                result.step = next_step::sent;
            } else if (!found.settled && pending) {
                result.step = next_step::probes_first;
            }
        }
        result.targets = this->pool.explain(wanted, chosen, probed, now);
        return result;
    }
};

request_scheduler::request_scheduler(const target_choice_rule& choice, const scheduling_rule& scheduling,
                                     callbacks hooks)
    : self{std::make_unique<implementation>(implementation{target_pool{choice}, scheduling, std::move(hooks)})} {}

request_scheduler::~request_scheduler() = default;

target_pool& request_scheduler::targets() noexcept {
    return this->self->pool;
}

const target_pool& request_scheduler::targets() const noexcept {
    return this->self->pool;
}

void request_scheduler::limit_probes(const double per_target) noexcept {
    this->self->rule.probes_per_target = per_target;
}

void request_scheduler::submit(const request& item, const time_point now) {
    auto& state = *this->self;
    if (state.pool.has_usable(item->tried, now)) {
        state.order.record_arrival(*item, now);
    }
    if (const auto refused = state.refuse_on_arrival(*item, state.spread, now)) {
        state.hooks.refuse(item, *refused);
        return;
    }
    state.queue.push_back(item);
    this->advance(now);
}

void request_scheduler::withdraw(const request& item) noexcept {
    std::erase(this->self->queue, item);
}

void request_scheduler::advance(const time_point now) {
    auto& state = *this->self;
    state.probes.refill(now, state.rule.probes_per_target * static_cast<double>(state.pool.usable(now)));
    if (state.queue.empty()) {
        return;
    }
    state.refuse_unservable(now);
    if (!state.pool.has_free(now)) {
        return;
    }
    state.sort(now);
    std::vector<std::pair<request, target_pool::handle>> ready{};
    std::size_t position = 0U;
    for (const auto& item : state.queue) {
        if (auto target = state.decide(*item, position++, now)) {
            // Counted before sending, so that the next request in the queue sees the slot as occupied.
            state.pool.begin(*target, now);
            state.order.record_sent(*item);
            ready.emplace_back(item, std::move(target));
            if (!state.pool.has_free(now)) {
                break;
            }
        }
    }
    for (const auto& [item, target] : ready) {
        std::erase(state.queue, item);
    }
    for (const auto& [item, target] : ready) {
        state.hooks.send(item, target);
    }
}

request_preview request_scheduler::preview(const waiting_request& item, const time_point now) const {
    return this->self->preview(item, now);
}

void request_scheduler::record_slot_time(const duration elapsed) noexcept {
    auto& mean = this->self->mean_slot_time;
    mean = mean == duration::zero()
               ? elapsed
               : mean + std::chrono::duration_cast<duration>((elapsed - mean) * internal::completion_weight);
}

std::size_t request_scheduler::waiting() const noexcept {
    return this->self->queue.size();
}

double request_scheduler::busy_share(const time_point now) const noexcept {
    return this->self->busy_share(now);
}

duration request_scheduler::expected_wait(const time_point now) const noexcept {
    return this->self->wait_behind(this->self->queue.size(), now);
}

std::optional<duration> request_scheduler::pause_left(const time_point now) noexcept {
    return this->self->pause_left({}, this->self->spread, now);
}

} // namespace mangopulley
