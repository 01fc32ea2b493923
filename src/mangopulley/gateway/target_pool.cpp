#include "target_pool.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace mangopulley {

namespace internal {

namespace {

constexpr double failure_weight = 0.25;
constexpr double success_weight = 0.1;
constexpr double lateness_weight = 0.1;
constexpr double slowdown_weight = 0.02;
constexpr std::uint32_t failures_before_avoidance = 2U;
constexpr duration remote_reading_decay{std::chrono::milliseconds{100}};
// A probe can count one request too many when another instance has just forwarded it.
constexpr double slot_tolerance = 0.5;
// A target that left the list, as in an outage of the store, may be listed again with the same start time.
constexpr duration unlisted_memory{std::chrono::minutes{10}};

[[nodiscard]] bool contains(const std::span<const std::string> ids, const std::string& id) noexcept {
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

[[nodiscard]] double decay(const duration age, const duration constant) noexcept {
    return std::exp(-static_cast<double>(age.count()) / static_cast<double>(constant.count()));
}

} // namespace

} // namespace internal

duration pool_target::reading_age(const time_point now) const noexcept {
    return this->reading ? now - this->read_at : duration::max();
}

std::optional<target_reason> pool_target::obstacle(const time_point now) const noexcept {
    if (!this->listed) {
        return target_reason::unlisted;
    }
    if (this->evacuated) {
        return target_reason::evacuated;
    }
    if (this->listing.draining || this->leaving) {
        return target_reason::leaving;
    }
    if (this->displaced_until > now) {
        return target_reason::displaced;
    }
    return this->paused_until > now ? std::optional{target_reason::paused} : std::nullopt;
}

target_pool::handle target_pool::find(const listed_target& listing) const {
    const auto is_same = [&listing](const handle& member) {
        return member->listing.id == listing.id && member->listing.born == listing.born;
    };
    const auto member = std::find_if(this->members.begin(), this->members.end(), is_same);
    if (member != this->members.end()) {
        return *member;
    }
    const auto former = std::find_if(this->unlisted.begin(), this->unlisted.end(),
                                     [&is_same](const unlisted_target& item) { return is_same(item.target); });
    return former == this->unlisted.end() ? nullptr : former->target;
}

void target_pool::remember_unlisted(const std::span<const handle> next, const time_point now) {
    const auto is_listed = [next](const handle& target) {
        return std::find(next.begin(), next.end(), target) != next.end();
    };
    std::erase_if(this->unlisted, [&is_listed, now](const unlisted_target& item) {
        return item.forget_at <= now || is_listed(item.target);
    });
    for (const auto& member : this->members) {
        member->listed = is_listed(member);
        // Without a start time, a target that comes back cannot be told from one that started again.
        if (!member->listed && member->listing.born != 0U &&
            (member->leaving || member->paused_until > now || member->is_cold(now))) {
            this->unlisted.push_back({member, now + internal::unlisted_memory});
        }
    }
}

void target_pool::update(const std::span<const listed_target> listed, const time_point now) {
    std::vector<handle> next{};
    next.reserve(listed.size());
    for (const auto& item : listed) {
        if (auto known = this->find(item)) {
            if (known->listing.endpoint != item.endpoint) {
                known->displaced_until = {};
            }
            // The remaining time of an entry that did not change is as old as the entry; a longer one is news.
            if (item.warm_up > known->listing.warm_up) {
                known->warm_up_until = std::max(known->warm_up_until, now + item.warm_up);
            }
            known->listing = item;
            known->listed = true;
            next.push_back(std::move(known));
            continue;
        }
        auto fresh = std::make_shared<pool_target>();
        fresh->listing = item;
        if (item.warm_up > duration::zero()) {
            fresh->warm_up_until = now + item.warm_up;
        }
        next.push_back(std::move(fresh));
    }
    for (const auto& target : next) {
        this->mark_evacuated(*target, now);
    }
    this->remember_unlisted(next, now);
    this->members = std::move(next);
}

void target_pool::limit_cold_targets(const double rate, const warm_up_senders& senders) {
    this->cold_rate = rate;
    this->share_after_warm_up = senders.share_afterwards();
    for (const auto& member : this->members) {
        // Ranking the instances for each target costs processor time that is of no use without a limit.
        member->cold_share = rate > 0.0 ? senders.share_while_cold(member->listing.id, member->listing.zone) : 0.0;
    }
}

void target_pool::mark_evacuated(pool_target& target, const time_point now) const noexcept {
    const bool before = std::exchange(target.evacuated, internal::contains(this->evacuated_zones, target.listing.zone));
    // A zone that returns may have started all its targets again under the same ids.
    if (before && !target.evacuated && this->cold_rate > 0.0) {
        target.warm_up_until = std::max(target.warm_up_until, now + this->warm_up_on_return);
    }
}

void target_pool::evacuate(const std::span<const std::string> zones, const duration warm_up, const time_point now) {
    this->evacuated_zones.assign(zones.begin(), zones.end());
    this->warm_up_on_return = warm_up;
    for (const auto& member : this->members) {
        this->mark_evacuated(*member, now);
    }
}

void target_pool::record_warm_up(pool_target& target, const duration remaining, const time_point now) const noexcept {
    // A target that was warm before and says so again does not start over.
    target.warm_up_until = remaining > duration::zero() ? now + remaining : std::min(target.warm_up_until, now);
}

std::optional<double> target_pool::warm_up_rate(const pool_target& target, const time_point now) const noexcept {
    if (this->cold_rate <= 0.0 || now >= target.warm_up_until + this->rule.warm_up_rise) {
        return std::nullopt;
    }
    if (target.is_cold(now)) {
        return this->cold_rate * target.cold_share;
    }
    const auto passed = static_cast<double>((now - target.warm_up_until).count());
    const auto doublings = passed / static_cast<double>(this->rule.warm_up_doubling.count());
    return this->cold_rate * this->share_after_warm_up * std::exp2(doublings);
}

double target_pool::remote_requests(const pool_target& target, const time_point now) const noexcept {
    const auto advertised = static_cast<double>(target.remote_in_flight);
    if (!target.reading) {
        return advertised;
    }
    const auto reported = target.reading->running + target.reading->waiting;
    if (reported <= target.in_flight_at_reading) {
        return advertised;
    }
    const auto observed = static_cast<double>(reported - target.in_flight_at_reading) *
                          internal::decay(target.reading_age(now), internal::remote_reading_decay);
    return std::max(advertised, observed);
}

std::optional<target_reason> target_pool::obstacle(const pool_target& target, const time_point now) const noexcept {
    if (const auto reason = target.obstacle(now)) {
        return reason;
    }
    if (target.resuming && target.in_flight > 0U) {
        return target_reason::resuming;
    }
    const auto rate = this->warm_up_rate(target, now);
    if (rate && !target.warm_up_tokens.available(*rate, now)) {
        return target_reason::cold;
    }
    const bool has_slot =
        target.in_flight + this->remote_requests(target, now) + 1.0 <= target.listing.slots + internal::slot_tolerance;
    return has_slot ? std::nullopt : std::optional{target_reason::busy};
}

double target_pool::slowdown(const pool_target& target, const time_point now) const noexcept {
    double slowdown = this->service_slowdown;
    if (target.reading) {
        const auto age = target.reading_age(now);
        const double weight = age <= this->rule.max_fresh_age ? 1.0 : internal::decay(age, this->rule.reading_decay);
        slowdown = weight * target.reading->slowdown + (1.0 - weight) * this->service_slowdown;
    }
    return target.is_cold(now) ? slowdown * this->rule.warm_up_factor : slowdown;
}

duration target_pool::expected(const pool_target& target, const duration work, const time_point now) const noexcept {
    double factor = this->slowdown(target, now);
    const bool neglected = this->cold_rate > 0.0 && now - target.last_used > this->rule.longest_cold_neglect;
    if (neglected && target.is_cold(now)) {
        factor /= this->rule.warm_up_factor;
    }
    const auto load = target.in_flight + this->remote_requests(target, now);
    if (load + 1.0 >= target.listing.slots) {
        factor *= this->rule.last_slot_factor;
    }
    factor += target.failure_share * this->rule.failure_cost + target.lateness_share * this->rule.lateness_cost;
    auto time =
        std::chrono::duration_cast<duration>(work * factor + this->rule.rejection_cost * target.rejection_share);
    if (target.listing.zone != this->rule.own_zone) {
        time += this->rule.other_zone_cost;
    }
    return time;
}

std::optional<target_pool::estimate> target_pool::best(const criteria& wanted, const time_point now) const {
    std::optional<estimate> found{};
    bool found_avoided = false;
    for (const auto& member : this->members) {
        if (!this->is_free(*member, now) || internal::contains(wanted.excluded, member->listing.id)) {
            continue;
        }
        if (wanted.fresh_only && member->reading_age(now) > this->rule.max_fresh_age) {
            continue;
        }
        const bool avoided =
            member->avoid_until > now || (!wanted.avoided_zone.empty() && member->listing.zone == wanted.avoided_zone);
        const auto time = this->expected(*member, wanted.work, now);
        const bool better =
            !found || (found_avoided && !avoided) ||
            (found_avoided == avoided &&
             (time < found->expected || (time == found->expected && member->last_used < found->target->last_used)));
        if (better) {
            found = estimate{member, time};
            found_avoided = avoided;
        }
    }
    return found;
}

std::vector<target_pool::handle> target_pool::probe_candidates(const criteria& wanted, const std::size_t limit,
                                                               const time_point now) const {
    struct candidate {
        duration expected;
        handle target;
    };
    std::vector<candidate> candidates{};
    for (const auto& member : this->members) {
        if (this->is_free(*member, now) && !member->probe_pending && member->avoid_until <= now &&
            member->reading_age(now) > this->rule.max_fresh_age &&
            !internal::contains(wanted.excluded, member->listing.id)) {
            candidates.push_back({this->expected(*member, wanted.work, now), member});
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const candidate& left, const candidate& right) {
        return left.expected != right.expected ? left.expected < right.expected
                                               : left.target->last_used < right.target->last_used;
    });
    std::vector<handle> chosen{};
    for (const auto& item : candidates) {
        if (chosen.size() == limit) {
            break;
        }
        chosen.push_back(item.target);
    }
    return chosen;
}

target_pool::handle target_pool::best_for_hedge(criteria wanted, const time_point now) const {
    for (const auto zone : {wanted.avoided_zone, std::string_view{}}) {
        wanted.avoided_zone = zone;
        const auto found = this->best(wanted, now);
        if (found && found->target->avoid_until <= now && (zone.empty() || found->target->listing.zone != zone)) {
            return found->target;
        }
    }
    return nullptr;
}

target_reason target_pool::reason_against(const explained_target& free, const criteria& wanted, const handle& chosen,
                                          const time_point now) const noexcept {
    const auto& target = *free.target;
    if (target.avoid_until > now) {
        return target_reason::avoided;
    }
    const bool fresh = target.reading_age(now) <= this->rule.max_fresh_age;
    if (!fresh && (chosen == nullptr || wanted.fresh_only)) {
        return target_reason::no_reading;
    }
    if (chosen == nullptr) {
        return target_reason::available;
    }
    const bool only_zone = target.listing.zone != this->rule.own_zone && chosen->listing.zone == this->rule.own_zone &&
                           free.expected - this->rule.other_zone_cost <= this->expected(*chosen, wanted.work, now);
    return only_zone ? target_reason::other_zone : target_reason::slower;
}

std::vector<target_pool::explained_target> target_pool::explain(const criteria& wanted, const handle& chosen,
                                                                const std::span<const handle> probed,
                                                                const time_point now) const {
    std::vector<explained_target> found{};
    found.reserve(this->members.size());
    for (const auto& member : this->members) {
        explained_target item{member, target_reason::chosen, this->expected(*member, wanted.work, now)};
        if (const auto reason = this->obstacle(*member, now)) {
            item.reason = *reason;
        } else if (std::find(probed.begin(), probed.end(), member) != probed.end()) {
            item.reason = target_reason::probed;
        } else if (member != chosen) {
            item.reason = this->reason_against(item, wanted, chosen, now);
        }
        found.push_back(std::move(item));
    }
    return found;
}

void target_pool::begin(pool_target& target, const time_point now) noexcept {
    if (const auto rate = this->warm_up_rate(target, now)) {
        target.warm_up_tokens.take(*rate, now);
    }
    ++target.in_flight;
    target.last_used = now;
}

void target_pool::update_mean_slowdown(const double slowdown) noexcept {
    this->service_slowdown += (slowdown - this->service_slowdown) * internal::slowdown_weight;
}

void target_pool::record_reading(pool_target& target, const load_reading& reading, const time_point now) {
    target.reading = reading;
    target.read_at = now;
    target.in_flight_at_reading = target.in_flight;
    if (target.failures_in_row > 0U && target.avoid_until <= now) {
        target.failures_in_row = 0U;
    }
    this->ever_reported = true;
    this->reporting = true;
    this->update_mean_slowdown(reading.slowdown);
}

void target_pool::record_missing_report() noexcept {
    this->reporting = this->ever_reported;
}

void target_pool::record_failure(pool_target& target, const time_point now) noexcept {
    ++target.failures_in_row;
    if (target.failures_in_row < internal::failures_before_avoidance) {
        return;
    }
    const auto doublings = std::min(target.failures_in_row - internal::failures_before_avoidance, 8U);
    target.avoid_until = now + std::min(this->rule.initial_avoidance * (1U << doublings), this->rule.max_avoidance);
}

void target_pool::record_probe_failure(pool_target& target, const time_point now) {
    target.reading.reset();
    // One probe without a response is enough: requests sent after it would be lost with the target.
    target.failures_in_row = std::max(target.failures_in_row, internal::failures_before_avoidance - 1U);
    this->record_failure(target, now);
}

void target_pool::end(pool_target& target, const send_outcome outcome, const std::optional<load_reading>& load,
                      const time_point now) {
    if (target.in_flight > 0U) {
        --target.in_flight;
    }
    switch (outcome) {
    case send_outcome::succeeded:
        target.failure_share *= 1.0 - internal::success_weight;
        target.rejection_share *= 1.0 - internal::success_weight;
        target.lateness_share *= 1.0 - internal::success_weight;
        target.failures_in_row = 0U;
        target.avoid_until = {};
        target.resuming = false;
        break;
    case send_outcome::failed:
    case send_outcome::timed_out:
        target.failure_share += (1.0 - target.failure_share) * internal::failure_weight;
        this->record_failure(target, now);
        break;
    case send_outcome::shed:
        target.rejection_share += (1.0 - target.rejection_share) * internal::success_weight;
        break;
    case send_outcome::unreachable:
        target.failures_in_row = std::max(target.failures_in_row, internal::failures_before_avoidance - 1U);
        this->record_failure(target, now);
        break;
    case send_outcome::overtaken:
        target.lateness_share += (1.0 - target.lateness_share) * internal::lateness_weight;
        break;
    case send_outcome::cancelled:
        break;
    }
    if (load) {
        // The reading dates from when the response was sent, so it may still count the request of that response.
        const auto before = target.in_flight_at_reading;
        this->record_reading(target, *load, now);
        target.in_flight_at_reading = std::max(target.in_flight + 1U, before);
    }
}

bool target_pool::record_advice(pool_target& target, const target_advice& advice, const time_point now) noexcept {
    const bool begins_to_leave = advice.leaving && !target.leaving;
    target.leaving = target.leaving || advice.leaving;
    const auto end = now + advice.pause.value_or(duration::zero());
    const bool pauses_longer = end > std::max(target.paused_until, now);
    if (pauses_longer) {
        target.paused_until = end;
        target.resuming = true;
    }
    return begins_to_leave || pauses_longer;
}

void target_pool::record_displacement(pool_target& target, const time_point now) const noexcept {
    target.displaced_until = now + this->rule.displacement;
}

bool target_pool::has_usable(const std::span<const std::string> excluded, const time_point now) const noexcept {
    return std::any_of(this->members.begin(), this->members.end(), [excluded, now](const handle& member) {
        return member->accepts_work(now) && !internal::contains(excluded, member->listing.id);
    });
}

bool target_pool::has_free(const time_point now) const noexcept {
    return std::any_of(this->members.begin(), this->members.end(),
                       [this, now](const handle& member) { return this->is_free(*member, now); });
}

std::optional<time_point> target_pool::end_of_pause(const std::span<const std::string> excluded,
                                                    const time_point now) const noexcept {
    std::optional<time_point> earliest{};
    for (const auto& member : this->members) {
        if (member->evacuated || member->listing.draining || member->leaving || member->displaced_until > now ||
            internal::contains(excluded, member->listing.id)) {
            continue;
        }
        if (member->paused_until <= now) {
            return std::nullopt;
        }
        earliest = std::min(earliest.value_or(time_point::max()), member->paused_until);
    }
    return earliest;
}

std::size_t target_pool::usable(const time_point now) const noexcept {
    return static_cast<std::size_t>(std::count_if(this->members.begin(), this->members.end(),
                                                  [now](const handle& member) { return member->accepts_work(now); }));
}

std::size_t target_pool::slots(const time_point now) const noexcept {
    std::size_t total = 0U;
    for (const auto& member : this->members) {
        // One slot at most is of use at a cold target, and none where this instance may not send to it.
        const auto rate = member->is_cold(now) ? this->warm_up_rate(*member, now) : std::nullopt;
        const auto usable_slots = !rate ? member->listing.slots : *rate > 0.0 ? 1U : 0U;
        total += member->accepts_work(now) ? usable_slots : 0U;
    }
    return total;
}

} // namespace mangopulley
