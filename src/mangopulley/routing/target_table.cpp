#include "target_table.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <utility>

namespace mangopulley {

namespace internal {

// A load report is about as old as the response that carried it, and load shifts within milliseconds.
constexpr double remote_half_life_ms = 50.0;
// Without new responses the slowdown estimate of a target decays to 1, that of an average target.
constexpr double slowdown_half_life_ms = 100.0;
constexpr double slowdown_weight = 0.3;
// A failure counts as a response that took this multiple of the median, so that failing fast attracts no traffic.
constexpr double failure_slowdown = 10.0;
constexpr double max_slowdown = 100.0;
// A response time below this multiple of the median shows that the request did not wait at the target.
constexpr double unqueued_ratio = 1.5;
constexpr std::uint64_t warmup_responses = 3U;
constexpr auto min_trial_interval = std::chrono::milliseconds{20};
constexpr auto max_trial_interval = std::chrono::milliseconds{160};
// A refused connection often means that the target is shutting down; other connection failures may also come from a
// short pause of its host.
constexpr auto min_unreachable_interval = std::chrono::milliseconds{100};
constexpr auto max_unreachable_interval = std::chrono::seconds{1};
// Targets stay slow for 50 ms to 2 s; a suspicion without new evidence for 2 s is outdated.
constexpr auto suspicion_expiry = std::chrono::seconds{2};

[[nodiscard]] double decay(const double value, const duration age, const double half_life_ms) noexcept {
    if (value == 0.0) {
        return 0.0;
    }
    return value * std::exp2(-std::chrono::duration<double, std::milli>{age}.count() / half_life_ms);
}

[[nodiscard]] double ratio(const duration part, const duration whole) noexcept {
    return whole.count() > 0 ? static_cast<double>(part.count()) / static_cast<double>(whole.count()) : 1.0;
}

struct target_entry {
    target_record record{};
    bool listed{true};
    bool draining{};
    time_point draining_since{};
    bool unreachable{};
    bool marked_suspect{};
    time_point suspect_since{};
    time_point last_evidence{};
    time_point trial_after{};
    duration trial_interval{min_trial_interval};
    std::uint32_t trials_in_flight{};
    std::uint32_t own_in_flight{};
    /*! @brief Attempts in flight, ordered by the time at which each makes the target suspect. */
    std::set<std::pair<time_point, target_table::attempt*>> attempts_by_suspect_time{};
    double remote_in_flight{};
    time_point remote_updated_at{};
    std::uint32_t reported{};
    double slowdown{1.0};
    time_point slowdown_updated_at{};
    duration smoothed_response_time{};
    std::uint64_t answers{};
    std::uint64_t failures{};
    std::uint64_t contradictions{};
    time_point last_used{};
    /*! @brief Whether the estimate of remote requests comes from a request that the target shed. */
    bool shedding{};
    /*! @brief When the target last sent a response within the suspect threshold. */
    time_point last_normal{};

    [[nodiscard]] bool overdue(const time_point now) const noexcept {
        return !this->attempts_by_suspect_time.empty() && this->attempts_by_suspect_time.begin()->first <= now;
    }
    [[nodiscard]] bool suspect(const time_point now) const noexcept {
        return this->marked_suspect || this->overdue(now);
    }
    [[nodiscard]] double remote_in_flight_at(const time_point now) const noexcept {
        return decay(this->remote_in_flight, now - this->remote_updated_at, remote_half_life_ms);
    }
    [[nodiscard]] double slowdown_at(const time_point now) const noexcept {
        return 1.0 + decay(this->slowdown - 1.0, now - this->slowdown_updated_at, slowdown_half_life_ms);
    }
    [[nodiscard]] bool live() const noexcept { return this->listed && !this->record.leaving; }

    void mark_suspect(const time_point now) noexcept {
        const duration min_interval = this->unreachable ? min_unreachable_interval : min_trial_interval;
        const duration max_interval = this->unreachable ? duration{max_unreachable_interval} : max_trial_interval;
        if (!this->marked_suspect) {
            this->marked_suspect = true;
            this->suspect_since = now;
            this->trial_interval = min_interval;
        } else {
            this->trial_interval = std::clamp<duration>(2 * this->trial_interval, min_interval, max_interval);
        }
        this->last_evidence = now;
        this->trial_after = now + this->trial_interval;
    }

    void clear_suspicion(const time_point now) noexcept {
        this->marked_suspect = false;
        // The target responds in normal time, so the overdue attempts are long requests.
        while (this->overdue(now)) {
            this->attempts_by_suspect_time.erase(this->attempts_by_suspect_time.begin());
        }
    }

    void record_slowdown(const double sample, const time_point now) noexcept {
        const auto current = this->slowdown_at(now);
        this->slowdown = current + slowdown_weight * (std::min(sample, max_slowdown) - current);
        this->slowdown_updated_at = now;
    }

    /*! @brief Records a load report made while `own_at_report` own attempts were in flight. */
    void record_load(const load_report& load, const std::uint32_t own_at_report, const bool slow, const bool unqueued,
                     const std::uint32_t slots, const time_point now) noexcept {
        this->reported = load.in_flight + load.queued;
        this->shedding = false;
        auto remote = this->reported > own_at_report ? this->reported - own_at_report : 0U;
        if (slow && remote == 0U) {
            // A slow target that reports no load contradicts the observed response time; the estimate is kept.
            ++this->contradictions;
            return;
        }
        if (unqueued && remote >= slots) {
            // The request did not wait at the target, so at least one slot was free.
            ++this->contradictions;
            remote = slots - 1U;
        }
        this->remote_in_flight = remote;
        this->remote_updated_at = now;
    }
};

} // namespace internal

struct target_table::attempt {
    internal::target_entry* target{};
    response_times* times{};
    time_point started_at{};
    time_point suspect_at{};
    duration median{};
    bool trial{};
    bool outcome_recorded{};
};

struct target_table::implementation {
    using entry = internal::target_entry;

    target_limits limits;
    std::vector<std::unique_ptr<entry>> targets{};
    std::map<std::string, response_times, std::less<>> kinds{};
    std::vector<std::pair<double, std::size_t>> suspects{};
    bool remote_expected{true};

    explicit implementation(const target_limits bounds) noexcept : limits{bounds} {}

    [[nodiscard]] entry* find(const std::string_view id) const noexcept {
        for (const auto& item : this->targets) {
            if (item->record.id == id) {
                return item.get();
            }
        }
        return nullptr;
    }

    /*! @brief Returns whether more than half of the live targets claim to drain, so that no claim is trusted. */
    [[nodiscard]] bool drain_claims_ignored() const noexcept {
        const auto live = std::ranges::count_if(this->targets, [](const auto& item) { return item->live(); });
        const auto draining_count =
            std::ranges::count_if(this->targets, [](const auto& item) { return item->live() && item->draining; });
        return 2 * draining_count > live;
    }

    [[nodiscard]] static double severity(const entry& item, const time_point now) noexcept {
        auto worst = item.slowdown_at(now);
        if (!item.attempts_by_suspect_time.empty()) {
            const auto* oldest = item.attempts_by_suspect_time.begin()->second;
            worst = std::max(worst, internal::ratio(now - oldest->started_at, oldest->median));
        }
        return item.unreachable ? 2.0 * internal::max_slowdown : worst;
    }

    void erase_unlisted() {
        std::erase_if(this->targets, [](const auto& item) { return !item->listed && item->own_in_flight == 0U; });
    }

    bool set_draining(entry& item, const time_point now) noexcept {
        const bool newly_draining = !item.draining;
        item.draining = true;
        if (newly_draining) {
            item.draining_since = now;
        }
        return newly_draining;
    }

    void record_response(entry& target, const attempt& item, const attempt_report& report, const time_point ended,
                         const time_point now) {
        const auto elapsed = ended - item.started_at;
        const auto times_known = item.times->known();
        const auto time_ratio = times_known ? internal::ratio(elapsed, item.times->median()) : 1.0;
        const bool slow = ended >= item.suspect_at;
        target.unreachable = false;
        if (report.outcome == attempt_outcome::server_error) {
            ++target.failures;
            if (!times_known || 2 * elapsed < item.times->median()) {
                target.record_slowdown(internal::failure_slowdown, now);
                target.mark_suspect(now);
            } else {
                target.record_slowdown(time_ratio, now);
            }
        } else {
            ++target.answers;
            target.smoothed_response_time =
                target.answers == 1U ? elapsed
                                     : target.smoothed_response_time + (elapsed - target.smoothed_response_time) / 4;
            target.record_slowdown(time_ratio, now);
            item.times->record(elapsed);
            // A slow response is blamed on the request if the target answered other requests in normal time meanwhile.
            const auto normal_response_window = (item.suspect_at - item.started_at) / 2;
            if (!slow) {
                target.last_normal = ended;
                target.clear_suspicion(now);
            } else if (ended - target.last_normal >= normal_response_window) {
                target.mark_suspect(now);
            }
        }
        if (report.load) {
            target.record_load(*report.load, target.own_in_flight, slow,
                               times_known && time_ratio < internal::unqueued_ratio, this->limits.slots, now);
        }
    }

    /*! @brief Records an attempt without a complete response. */
    void record_failure(entry& target, const attempt& item, const attempt_report& report, const time_point ended,
                        const time_point now) {
        switch (report.outcome) {
        case attempt_outcome::shed:
            target.unreachable = false;
            // A target that sheds is full; the estimate decays, so the target is used again about 20 ms later.
            target.remote_in_flight = std::max<double>(target.remote_in_flight_at(now), this->limits.slots);
            target.remote_updated_at = now;
            target.shedding = true;
            break;
        case attempt_outcome::not_sent:
            ++target.failures;
            target.unreachable = true;
            target.mark_suspect(now);
            break;
        case attempt_outcome::broken:
            ++target.failures;
            target.record_slowdown(internal::failure_slowdown, now);
            target.mark_suspect(now);
            break;
        case attempt_outcome::timed_out:
        case attempt_outcome::cancelled: {
            // The response would have taken at least this long.
            const auto time_ratio =
                item.median.count() > 0 ? internal::ratio(ended - item.started_at, item.median) : 1.0;
            if (time_ratio > target.slowdown_at(now)) {
                target.record_slowdown(time_ratio, now);
            }
            if (ended >= item.suspect_at) {
                target.mark_suspect(now);
            }
            break;
        }
        default:
            break;
        }
    }
};

target_table::target_table(const target_limits bounds) : self{std::make_unique<implementation>(bounds)} {}

target_table::~target_table() = default;

void target_table::expect_remote_requests(const bool expected) noexcept {
    this->self->remote_expected = expected;
}

void target_table::configure(const target_limits bounds) noexcept {
    this->self->limits = bounds;
}

void target_table::update(const std::span<const target_record> targets) {
    for (auto& item : this->self->targets) {
        item->listed = false;
    }
    for (const auto& record : targets) {
        const auto found_at = std::ranges::find_if(this->self->targets, [&](const auto& item) {
            return item->record.id == record.id && item->record.endpoint == record.endpoint;
        });
        if (found_at != this->self->targets.end()) {
            (*found_at)->record = record;
            (*found_at)->listed = true;
            continue;
        }
        auto added = std::make_unique<internal::target_entry>();
        added->record = record;
        this->self->targets.push_back(std::move(added));
    }
    this->self->erase_unlisted();
}

bool target_table::mark_draining(const std::string_view id, const time_point now) {
    auto* const item = this->self->find(id);
    return item != nullptr && this->self->set_draining(*item, now);
}

void target_table::report(const std::string_view id, const load_report load, const time_point now) {
    if (auto* const item = this->self->find(id)) {
        item->record_load(load, item->own_in_flight, item->suspect(now), false, this->self->limits.slots, now);
    }
}

bool target_table::has_usable() const noexcept {
    const bool ignored = this->self->drain_claims_ignored();
    return std::ranges::any_of(this->self->targets,
                               [&](const auto& item) { return item->live() && (ignored || !item->draining); });
}

void target_table::view(const std::span<const std::string> excluded, const time_point now,
                        std::vector<target_view>& views) {
    views.clear();
    auto& suspects = this->self->suspects;
    suspects.clear();
    const bool drain_claims_ignored = this->self->drain_claims_ignored();
    std::size_t usable{};
    for (std::size_t index = 0U; index < this->self->targets.size(); ++index) {
        auto& item = *this->self->targets[index];
        if (!item.live() || (item.draining && !drain_claims_ignored)) {
            continue;
        }
        ++usable;
        if (item.marked_suspect && !item.unreachable && item.own_in_flight == 0U &&
            now - item.last_evidence > internal::suspicion_expiry) {
            item.marked_suspect = false;
        }
        target_view candidate{};
        candidate.suspect = item.suspect(now);
        if (candidate.suspect) {
            suspects.emplace_back(implementation::severity(item, now), index);
        }
        if (item.own_in_flight >= this->self->limits.connections ||
            std::ranges::find(excluded, item.record.id) != excluded.end()) {
            continue;
        }
        candidate.index = index;
        candidate.own_in_flight = item.own_in_flight;
        const bool estimate_counts = this->self->remote_expected || item.shedding;
        candidate.remote_in_flight =
            estimate_counts ? static_cast<std::uint32_t>(std::lround(item.remote_in_flight_at(now))) : 0U;
        candidate.slots = item.answers < internal::warmup_responses ? 1U : this->self->limits.slots;
        candidate.reported = item.reported;
        candidate.slowdown = item.slowdown_at(now);
        if (!item.attempts_by_suspect_time.empty()) {
            const auto* oldest = item.attempts_by_suspect_time.begin()->second;
            candidate.oldest_age =
                oldest->median.count() > 0 ? internal::ratio(now - oldest->started_at, oldest->median) : 0.0;
        }
        candidate.last_used = item.last_used;
        views.push_back(candidate);
    }
    // When all targets are suspect the cause is common to them, and none is avoided.
    const auto max_avoided = suspects.size() == usable ? 0U : usable / 2U;
    std::ranges::sort(suspects, std::greater<>{});
    suspects.resize(std::min(suspects.size(), max_avoided));
    for (auto& candidate : views) {
        candidate.avoided = candidate.suspect && std::ranges::any_of(suspects, [&](const auto& suspect) {
                                return suspect.second == candidate.index;
                            });
        if (candidate.avoided) {
            const auto& item = *this->self->targets[candidate.index];
            const bool waited = now >= item.trial_after;
            // An overdue attempt already shows that the target is still slow, so no trial is needed.
            candidate.trial_open = item.trials_in_flight == 0U && !item.overdue(now) && (!item.unreachable || waited);
            candidate.trial_due = candidate.trial_open && waited;
        }
    }
}

target_table::attempt* target_table::begin(const std::size_t index, const std::string_view kind, const time_point now) {
    auto& target = *this->self->targets[index];
    auto found_at = this->self->kinds.find(kind);
    if (found_at == this->self->kinds.end()) {
        found_at = this->self->kinds.emplace(std::string{kind}, response_times{}).first;
    }
    auto started = std::make_unique<attempt>();
    started->target = &target;
    started->times = &found_at->second;
    started->started_at = now;
    started->median = found_at->second.known() ? found_at->second.median() : duration{};
    const auto threshold = found_at->second.suspect_threshold();
    started->suspect_at = threshold == duration::max() ? time_point::max() : now + threshold;
    started->trial = target.suspect(now);
    target.attempts_by_suspect_time.emplace(started->suspect_at, started.get());
    ++target.own_in_flight;
    target.trials_in_flight += started->trial ? 1U : 0U;
    target.last_used = now;
    return started.release();
}

void target_table::record_outcome(attempt& abandoned, const attempt_report& report, const time_point now) {
    if (std::exchange(abandoned.outcome_recorded, true)) {
        return;
    }
    auto& target = *abandoned.target;
    const auto ended_at = std::min(report.ended.value_or(now), now);
    // An overdue attempt that is no longer in this set is known to be a long request on a healthy target.
    if (target.attempts_by_suspect_time.erase({abandoned.suspect_at, &abandoned}) == 0U) {
        abandoned.suspect_at = time_point::max();
    }
    switch (report.outcome) {
    case attempt_outcome::answered:
    case attempt_outcome::server_error:
        this->self->record_response(target, abandoned, report, ended_at, now);
        break;
    default:
        this->self->record_failure(target, abandoned, report, ended_at, now);
        break;
    }
}

std::string target_table::end(attempt* const ended, const attempt_report& report, const time_point now) {
    const std::unique_ptr<attempt> item{ended};
    auto& target = *item->target;
    this->record_outcome(*item, report, now);
    --target.own_in_flight;
    target.trials_in_flight -= item->trial ? 1U : 0U;
    std::string drained_id{};
    if (report.draining) {
        if (this->self->set_draining(target, now)) {
            drained_id = target.record.id;
        }
    } else if (target.draining && report.outcome == attempt_outcome::answered &&
               item->started_at > target.draining_since) {
        // The target answered a request sent after its claim to drain and did not repeat the claim.
        target.draining = false;
    }
    if (!target.listed) {
        this->self->erase_unlisted();
    }
    return drained_id;
}

const std::string& target_table::id(const attempt& in_flight) const noexcept {
    return in_flight.target->record.id;
}

const std::string& target_table::endpoint(const attempt& in_flight) const noexcept {
    return in_flight.target->record.endpoint;
}

time_point target_table::hedge_time(const attempt& in_flight, const bool suspects_only,
                                    const time_point now) const noexcept {
    if (!in_flight.times->known()) {
        return time_point::max();
    }
    const auto& target = *in_flight.target;
    auto trigger = suspects_only ? time_point::max() : in_flight.started_at + in_flight.times->percentile_95();
    if (target.suspect(now)) {
        trigger = in_flight.started_at;
    } else if (!target.attempts_by_suspect_time.empty()) {
        trigger = std::min(trigger, target.attempts_by_suspect_time.begin()->first);
    }
    // Half of the responses of a healthy target take longer than the median; the margin saves hedges during a trial.
    const auto min_delay = in_flight.times->median() + in_flight.times->median() / 2;
    return std::max(in_flight.started_at + std::min(min_delay, in_flight.times->percentile_95()), trigger);
}

const response_times& target_table::times(const std::string_view kind) {
    const auto found_at = this->self->kinds.find(kind);
    if (found_at != this->self->kinds.end()) {
        return found_at->second;
    }
    return this->self->kinds.emplace(std::string{kind}, response_times{}).first->second;
}

std::vector<target_record> target_table::idle(const duration longer_than, const time_point now) const {
    std::vector<target_record> found{};
    for (const auto& item : this->self->targets) {
        if (item->live() && !item->draining && item->own_in_flight == 0U && now - item->last_used > longer_than) {
            found.push_back(item->record);
        }
    }
    return found;
}

std::vector<target_snapshot> target_table::describe(const time_point now) const {
    std::vector<target_snapshot> all{};
    for (const auto& item : this->self->targets) {
        const bool suspect = item->suspect(now);
        const auto since = item->marked_suspect ? item->suspect_since
                           : suspect            ? item->attempts_by_suspect_time.begin()->first
                                                : now;
        all.push_back({item->record.id, item->record.endpoint, item->record.zone, item->listed, item->record.leaving,
                       item->draining, item->unreachable, suspect,
                       std::chrono::duration_cast<milliseconds>(now - since), item->own_in_flight,
                       item->remote_in_flight_at(now), item->slowdown_at(now), item->smoothed_response_time,
                       item->answers, item->failures, item->contradictions});
    }
    return all;
}

std::vector<kind_snapshot> target_table::describe_kinds() const {
    std::vector<kind_snapshot> all{};
    for (const auto& [kind, times] : this->self->kinds) {
        all.push_back({kind, times.median(), times.percentile_95(), times.suspect_threshold()});
    }
    return all;
}

} // namespace mangopulley
