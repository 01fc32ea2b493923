#include "target_table.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <utility>

namespace mangopulley {

namespace internal {

// A load report is about as old as the answer that carried it; load shifts within milliseconds.
constexpr double foreign_half_life_ms = 50.0;
// Without new answers a target is taken to be as fast as the others again.
constexpr double slowdown_half_life_ms = 100.0;
constexpr double slowdown_weight = 0.3;
// A failure counts like an answer that took this multiple of the median, so that failing fast attracts no traffic.
constexpr double failure_slowdown = 10.0;
constexpr double largest_slowdown = 100.0;
// An answer below this multiple of the median shows that the request did not wait at the target.
constexpr double unqueued_ratio = 1.5;
constexpr std::uint64_t cold_answers = 3U;
constexpr auto first_trial_pause = std::chrono::milliseconds{20};
constexpr auto longest_trial_pause = std::chrono::milliseconds{160};
// A refused connection often means a target that is going away, a failed one may also mean a short pause of its host.
constexpr auto first_unreachable_pause = std::chrono::milliseconds{100};
constexpr auto longest_unreachable_pause = std::chrono::seconds{1};
// Slow spells last 50 ms to 2 s; after that time without evidence the suspicion is out of date.
constexpr auto suspicion_lapse = std::chrono::seconds{2};

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
    bool flagged{};
    time_point suspect_since{};
    time_point last_evidence{};
    time_point trial_after{};
    duration trial_pause{first_trial_pause};
    std::uint32_t trials{};
    std::uint32_t own{};
    /*! @brief Attempts with the time at which they make the target suspect. */
    std::set<std::pair<time_point, target_table::attempt*>> becomes_suspect{};
    double foreign{};
    time_point foreign_at{};
    std::uint32_t reported{};
    double slowdown{1.0};
    time_point slowdown_at{};
    duration smoothed{};
    std::uint64_t answers{};
    std::uint64_t failures{};
    std::uint64_t contradictions{};
    time_point last_used{};
    /*! @brief Whether the estimate of foreign load comes from a request that the target shed. */
    bool shedding{};
    /*! @brief When the target last answered in normal time. */
    time_point last_normal{};

    [[nodiscard]] bool overdue(const time_point now) const noexcept {
        return !this->becomes_suspect.empty() && this->becomes_suspect.begin()->first <= now;
    }
    [[nodiscard]] bool suspect(const time_point now) const noexcept { return this->flagged || this->overdue(now); }
    [[nodiscard]] double foreign_now(const time_point now) const noexcept {
        return decay(this->foreign, now - this->foreign_at, foreign_half_life_ms);
    }
    [[nodiscard]] double slowdown_now(const time_point now) const noexcept {
        return 1.0 + decay(this->slowdown - 1.0, now - this->slowdown_at, slowdown_half_life_ms);
    }
    [[nodiscard]] bool live() const noexcept { return this->listed && !this->record.leaving; }

    void flag(const time_point now) noexcept {
        const duration first = this->unreachable ? first_unreachable_pause : first_trial_pause;
        const duration longest = this->unreachable ? duration{longest_unreachable_pause} : longest_trial_pause;
        if (!this->flagged) {
            this->flagged = true;
            this->suspect_since = now;
            this->trial_pause = first;
        } else {
            this->trial_pause = std::clamp<duration>(2 * this->trial_pause, first, longest);
        }
        this->last_evidence = now;
        this->trial_after = now + this->trial_pause;
    }

    void clear_suspicion(const time_point now) noexcept {
        this->flagged = false;
        // The target answers in normal time, so the attempts that are overdue are long requests.
        while (this->overdue(now)) {
            this->becomes_suspect.erase(this->becomes_suspect.begin());
        }
    }

    void learn_slowdown(const double sample, const time_point now) noexcept {
        const auto present = this->slowdown_now(now);
        this->slowdown = present + slowdown_weight * (std::min(sample, largest_slowdown) - present);
        this->slowdown_at = now;
    }

    /*! @brief Takes in a report made while `own_then` own attempts were at the target. */
    void learn_load(const load_report& load, const std::uint32_t own_then, const bool slow, const bool unqueued,
                    const std::uint32_t slots, const time_point now) noexcept {
        this->reported = load.in_flight + load.queued;
        this->shedding = false;
        auto others = this->reported > own_then ? this->reported - own_then : 0U;
        if (slow && others == 0U) {
            // A slow target that reports no load contradicts what was observed; the former estimate stays.
            ++this->contradictions;
            return;
        }
        if (unqueued && others >= slots) {
            // The request did not wait, so at least one slot was free.
            ++this->contradictions;
            others = slots - 1U;
        }
        this->foreign = others;
        this->foreign_at = now;
    }
};

} // namespace internal

struct target_table::attempt {
    internal::target_entry* target{};
    answer_times* times{};
    time_point started{};
    time_point suspect_at{};
    duration median{};
    bool trial{};
    bool concluded{};
};

struct target_table::implementation {
    using entry = internal::target_entry;

    target_limits limits;
    std::vector<std::unique_ptr<entry>> targets{};
    std::map<std::string, answer_times, std::less<>> kinds{};
    std::vector<std::pair<double, std::size_t>> suspects{};
    bool foreign_expected{true};

    explicit implementation(const target_limits bounds) noexcept : limits{bounds} {}

    [[nodiscard]] entry* find(const std::string_view id) const noexcept {
        for (const auto& item : this->targets) {
            if (item->record.id == id) {
                return item.get();
            }
        }
        return nullptr;
    }

    /*! @brief Tells whether so many targets claim to drain that the platform's list decides. */
    [[nodiscard]] bool claims_ignored() const noexcept {
        const auto live = std::ranges::count_if(this->targets, [](const auto& item) { return item->live(); });
        const auto claims =
            std::ranges::count_if(this->targets, [](const auto& item) { return item->live() && item->draining; });
        return 2 * claims > live;
    }

    [[nodiscard]] static double severity(const entry& item, const time_point now) noexcept {
        auto worst = item.slowdown_now(now);
        if (!item.becomes_suspect.empty()) {
            const auto* oldest = item.becomes_suspect.begin()->second;
            worst = std::max(worst, internal::ratio(now - oldest->started, oldest->median));
        }
        return item.unreachable ? 2.0 * internal::largest_slowdown : worst;
    }

    void drop_gone() {
        std::erase_if(this->targets, [](const auto& item) { return !item->listed && item->own == 0U; });
    }

    bool drain(entry& item, const time_point now) noexcept {
        const bool fresh = !item.draining;
        item.draining = true;
        if (fresh) {
            item.draining_since = now;
        }
        return fresh;
    }

    void learn_answer(entry& target, const attempt& item, const observation& seen, const time_point ended,
                      const time_point now) {
        const auto elapsed = ended - item.started;
        const auto times_known = item.times->known();
        const auto share = times_known ? internal::ratio(elapsed, item.times->median()) : 1.0;
        const bool slow = ended >= item.suspect_at;
        target.unreachable = false;
        if (seen.outcome == attempt_outcome::server_error) {
            ++target.failures;
            if (!times_known || 2 * elapsed < item.times->median()) {
                target.learn_slowdown(internal::failure_slowdown, now);
                target.flag(now);
            } else {
                target.learn_slowdown(share, now);
            }
        } else {
            ++target.answers;
            target.smoothed = target.answers == 1U ? elapsed : target.smoothed + (elapsed - target.smoothed) / 4;
            target.learn_slowdown(share, now);
            item.times->record(elapsed);
            // A late answer of a target that has answered others in normal time meanwhile was merely a long request.
            const auto patience = (item.suspect_at - item.started) / 2;
            if (!slow) {
                target.last_normal = ended;
                target.clear_suspicion(now);
            } else if (ended - target.last_normal >= patience) {
                target.flag(now);
            }
        }
        if (seen.load) {
            target.learn_load(*seen.load, target.own, slow, times_known && share < internal::unqueued_ratio,
                              this->limits.slots, now);
        }
    }

    /*! @brief Learns from an attempt without a whole answer. */
    void learn_failure(entry& target, const attempt& item, const observation& seen, const time_point ended,
                       const time_point now) {
        switch (seen.outcome) {
        case attempt_outcome::shed:
            target.unreachable = false;
            // A target that sheds is full; the estimate decays, so it is tried again some 20 ms later.
            target.foreign = std::max<double>(target.foreign_now(now), this->limits.slots);
            target.foreign_at = now;
            target.shedding = true;
            break;
        case attempt_outcome::not_sent:
            ++target.failures;
            target.unreachable = true;
            target.flag(now);
            break;
        case attempt_outcome::broken:
            ++target.failures;
            target.learn_slowdown(internal::failure_slowdown, now);
            target.flag(now);
            break;
        case attempt_outcome::timed_out:
        case attempt_outcome::cancelled: {
            // The answer would have taken at least this long.
            const auto share = item.median.count() > 0 ? internal::ratio(ended - item.started, item.median) : 1.0;
            if (share > target.slowdown_now(now)) {
                target.learn_slowdown(share, now);
            }
            if (ended >= item.suspect_at) {
                target.flag(now);
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

void target_table::expect_foreign(const bool expected) noexcept {
    this->self->foreign_expected = expected;
}

void target_table::configure(const target_limits bounds) noexcept {
    this->self->limits = bounds;
}

void target_table::update(const std::span<const target_record> targets) {
    for (auto& item : this->self->targets) {
        item->listed = false;
    }
    for (const auto& record : targets) {
        const auto position = std::ranges::find_if(this->self->targets, [&](const auto& item) {
            return item->record.id == record.id && item->record.endpoint == record.endpoint;
        });
        if (position != this->self->targets.end()) {
            (*position)->record = record;
            (*position)->listed = true;
            continue;
        }
        auto added = std::make_unique<internal::target_entry>();
        added->record = record;
        this->self->targets.push_back(std::move(added));
    }
    this->self->drop_gone();
}

bool target_table::mark_draining(const std::string_view id, const time_point now) {
    auto* const item = this->self->find(id);
    return item != nullptr && this->self->drain(*item, now);
}

void target_table::report(const std::string_view id, const load_report load, const time_point now) {
    if (auto* const item = this->self->find(id)) {
        item->learn_load(load, item->own, item->suspect(now), false, this->self->limits.slots, now);
    }
}

bool target_table::has_usable() const noexcept {
    const bool ignored = this->self->claims_ignored();
    return std::ranges::any_of(this->self->targets,
                               [&](const auto& item) { return item->live() && (ignored || !item->draining); });
}

void target_table::view(const std::span<const std::string> excluded, const time_point now,
                        std::vector<target_view>& views) {
    views.clear();
    auto& suspects = this->self->suspects;
    suspects.clear();
    const bool claims_ignored = this->self->claims_ignored();
    std::size_t usable{};
    for (std::size_t index = 0U; index < this->self->targets.size(); ++index) {
        auto& item = *this->self->targets[index];
        if (!item.live() || (item.draining && !claims_ignored)) {
            continue;
        }
        ++usable;
        if (item.flagged && !item.unreachable && item.own == 0U &&
            now - item.last_evidence > internal::suspicion_lapse) {
            item.flagged = false;
        }
        target_view seen{};
        seen.suspect = item.suspect(now);
        if (seen.suspect) {
            suspects.emplace_back(implementation::severity(item, now), index);
        }
        if (item.own >= this->self->limits.connections ||
            std::ranges::find(excluded, item.record.id) != excluded.end()) {
            continue;
        }
        seen.index = index;
        seen.own = item.own;
        const bool estimate_counts = this->self->foreign_expected || item.shedding;
        seen.foreign = estimate_counts ? static_cast<std::uint32_t>(std::lround(item.foreign_now(now))) : 0U;
        seen.slots = item.answers < internal::cold_answers ? 1U : this->self->limits.slots;
        seen.reported = item.reported;
        seen.slowdown = item.slowdown_now(now);
        if (!item.becomes_suspect.empty()) {
            const auto* oldest = item.becomes_suspect.begin()->second;
            seen.oldest_age = oldest->median.count() > 0 ? internal::ratio(now - oldest->started, oldest->median) : 0.0;
        }
        seen.last_used = item.last_used;
        views.push_back(seen);
    }
    // When all targets are suspect the cause is not one of them, and none is avoided.
    const auto most_avoided = suspects.size() == usable ? 0U : usable / 2U;
    std::ranges::sort(suspects, std::greater<>{});
    suspects.resize(std::min(suspects.size(), most_avoided));
    for (auto& seen : views) {
        seen.avoided =
            seen.suspect && std::ranges::any_of(suspects, [&](const auto& one) { return one.second == seen.index; });
        if (seen.avoided) {
            const auto& item = *this->self->targets[seen.index];
            const bool waited = now >= item.trial_after;
            // An overdue attempt already shows that the target is still slow.
            seen.trial_open = item.trials == 0U && !item.overdue(now) && (!item.unreachable || waited);
            seen.trial_due = seen.trial_open && waited;
        }
    }
}

target_table::attempt* target_table::begin(const std::size_t index, const std::string_view kind, const time_point now) {
    auto& target = *this->self->targets[index];
    auto position = this->self->kinds.find(kind);
    if (position == this->self->kinds.end()) {
        position = this->self->kinds.emplace(std::string{kind}, answer_times{}).first;
    }
    auto made = std::make_unique<attempt>();
    made->target = &target;
    made->times = &position->second;
    made->started = now;
    made->median = position->second.known() ? position->second.median() : duration{};
    const auto age = position->second.suspect_age();
    made->suspect_at = age == duration::max() ? time_point::max() : now + age;
    made->trial = target.suspect(now);
    target.becomes_suspect.emplace(made->suspect_at, made.get());
    ++target.own;
    target.trials += made->trial ? 1U : 0U;
    target.last_used = now;
    return made.release();
}

void target_table::conclude(attempt& given_up, const observation& seen, const time_point now) {
    if (std::exchange(given_up.concluded, true)) {
        return;
    }
    auto& target = *given_up.target;
    const auto ended_at = std::min(seen.ended.value_or(now), now);
    // An overdue attempt that is no longer listed here is known to be a long request on a healthy target.
    if (target.becomes_suspect.erase({given_up.suspect_at, &given_up}) == 0U) {
        given_up.suspect_at = time_point::max();
    }
    switch (seen.outcome) {
    case attempt_outcome::answered:
    case attempt_outcome::server_error:
        this->self->learn_answer(target, given_up, seen, ended_at, now);
        break;
    default:
        this->self->learn_failure(target, given_up, seen, ended_at, now);
        break;
    }
}

std::string target_table::end(attempt* const ended, const observation& seen, const time_point now) {
    const std::unique_ptr<attempt> item{ended};
    auto& target = *item->target;
    this->conclude(*item, seen, now);
    --target.own;
    target.trials -= item->trial ? 1U : 0U;
    std::string drained{};
    if (seen.draining) {
        if (this->self->drain(target, now)) {
            drained = target.record.id;
        }
    } else if (target.draining && seen.outcome == attempt_outcome::answered && item->started > target.draining_since) {
        // Work that was sent after the claim shows that the target stays.
        target.draining = false;
    }
    if (!target.listed) {
        this->self->drop_gone();
    }
    return drained;
}

const std::string& target_table::id(const attempt& open) const noexcept {
    return open.target->record.id;
}

const std::string& target_table::endpoint(const attempt& open) const noexcept {
    return open.target->record.endpoint;
}

time_point target_table::hedge_time(const attempt& open, const bool suspects_only,
                                    const time_point now) const noexcept {
    if (!open.times->known()) {
        return time_point::max();
    }
    const auto& target = *open.target;
    auto trigger = suspects_only ? time_point::max() : open.started + open.times->percentile_95();
    if (target.suspect(now)) {
        trigger = open.started;
    } else if (!target.becomes_suspect.empty()) {
        trigger = std::min(trigger, target.becomes_suspect.begin()->first);
    }
    // Half of the answers of a healthy target take longer than the median, so a margin saves hedges during a trial.
    const auto usual = open.times->median() + open.times->median() / 2;
    return std::max(open.started + std::min(usual, open.times->percentile_95()), trigger);
}

const answer_times& target_table::times(const std::string_view kind) {
    const auto position = this->self->kinds.find(kind);
    if (position != this->self->kinds.end()) {
        return position->second;
    }
    return this->self->kinds.emplace(std::string{kind}, answer_times{}).first->second;
}

std::vector<target_record> target_table::idle(const duration longer_than, const time_point now) const {
    std::vector<target_record> found{};
    for (const auto& item : this->self->targets) {
        if (item->live() && !item->draining && item->own == 0U && now - item->last_used > longer_than) {
            found.push_back(item->record);
        }
    }
    return found;
}

std::vector<target_snapshot> target_table::describe(const time_point now) const {
    std::vector<target_snapshot> all{};
    for (const auto& item : this->self->targets) {
        const bool suspect = item->suspect(now);
        const auto since = item->flagged ? item->suspect_since : suspect ? item->becomes_suspect.begin()->first : now;
        all.push_back({item->record.id, item->record.endpoint, item->record.zone, item->listed, item->record.leaving,
                       item->draining, item->unreachable, suspect,
                       std::chrono::duration_cast<milliseconds>(now - since), item->own, item->foreign_now(now),
                       item->slowdown_now(now), item->smoothed, item->answers, item->failures, item->contradictions});
    }
    return all;
}

std::vector<kind_snapshot> target_table::describe_kinds() const {
    std::vector<kind_snapshot> all{};
    for (const auto& [kind, times] : this->self->kinds) {
        all.push_back({kind, times.median(), times.percentile_95(), times.suspect_age()});
    }
    return all;
}

} // namespace mangopulley
