#include "allowance_table.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <unordered_map>
#include <utility>

#include <nlohmann/json.hpp>

#include "../core/rendezvous.hpp"
#include "../core/string_hash.hpp"
#include "allowance_report.hpp"
#include "demand_meter.hpp"
#include "reporting_peers.hpp"

namespace mangopulley {

namespace internal {

namespace {

// Shares of the slack that instances may use whatever their share of a limit: as burst, and over a window. The rest
// covers instances that disagree on their number.
constexpr double slack_as_burst = 0.6;
constexpr double slack_over_window = 0.35;
// Part of the excess that serves as burst of a limit without one of its own.
constexpr double excess_as_burst = 0.4;
// Demand below this is none, in requests per second.
constexpr double min_demand = 0.02;
// Part of the remaining slack and of the excess that instances may overdraw together while the demand of all is well
// below the limit: single requests of a small team meet shares that are empty by chance.
constexpr double overdraft = 0.8;
constexpr duration share_period{std::chrono::milliseconds{20}};
constexpr duration longest_wait{std::chrono::seconds{5}};
constexpr std::size_t demands_per_report = 60U;
// Every n-th report lists all limits; the others only those of which more than this part is in demand.
constexpr unsigned reports_per_full_report = 5U;
constexpr double nearly_used = 0.8;
// A change of the demand here by this part of the rate is reported at once.
constexpr double sudden_change = 0.1;
// A change of the share here by this much is reported at once.
constexpr double share_change = 0.03;
// Time constant by which instances that cannot reach all others give up what is used twice.
constexpr duration correction{std::chrono::seconds{1}};

[[nodiscard]] std::uint32_t hash_of(const std::string_view key) noexcept {
    return static_cast<std::uint32_t>(rendezvous_rank("allowance", key));
}

[[nodiscard]] double seconds(const duration time) noexcept {
    return std::chrono::duration<double>(time).count();
}

/*! @brief Limit with this instance's share of it. */
struct allowance {
    double rate{};
    double burst{};
    std::uint32_t hash{};
    demand_meter demand{};
    /*! @brief Share of the limit, from 0 to 1. */
    double share{};
    time_point share_updated{};
    double tokens{};
    time_point refilled{};
    /*! @brief Refused requests that were told to come back and for which no token has come yet. */
    double promised{};
    /*! @brief Demand in the last report that listed the limit. */
    double reported{};
    double reported_share{};
};

} // namespace

} // namespace internal

struct allowance_table::implementation {
    allowance_rule rule;
    std::uint64_t incarnation;
    reporting_peers peers;
    unsigned reports_made{};
    std::unordered_map<std::string, internal::allowance, string_hash, std::equal_to<>> limits{};
    std::size_t instances{1U};
    time_point instances_seen{};
    bool alone{};

    [[nodiscard]] internal::allowance* find(const std::string_view key) {
        const auto position = this->limits.find(key);
        return position == this->limits.end() ? nullptr : &position->second;
    }

    [[nodiscard]] double own_demand(const internal::allowance& limit, const time_point now) const noexcept {
        const auto rate = limit.demand.rate(now, this->rule.demand_smoothing);
        return rate < internal::min_demand ? 0.0 : rate;
    }

    [[nodiscard]] double sharing_instances(const time_point now) const {
        return static_cast<double>(std::max(this->instances, this->peers.reserved(now) + 1U));
    }

    /*! @brief Returns the share to which the demand entitles this instance. */
    [[nodiscard]] double entitled_share(const internal::allowance& limit, const duration elapsed,
                                        const time_point now) {
        if (this->alone) {
            return 1.0;
        }
        const auto in_contact = this->peers.in_contact(now);
        // An instance that no other one ever heard is in nobody's sum.
        const bool never_heard = in_contact == 0U && limit.share == 0.0;
        if (never_heard || this->peers.isolated(now)) {
            return 0.0;
        }
        const auto use = this->peers.use_of(limit.hash, now);
        const auto base = limit.rate * this->rule.base_demand / this->sharing_instances(now);
        const auto own = this->own_demand(limit, now);
        const auto total = std::max(own + use.demand + use.silent_demand, use.largest_known);
        const auto by_demand = (own + base) / (total + base * this->sharing_instances(now));
        // A share grows only by what nobody uses, whose demand may have grown unheard.
        const auto used = std::max(limit.share + use.shares, use.largest_used);
        const auto free = 1.0 - used;
        if (free >= 0.0) {
            return std::min(by_demand, limit.share + free);
        }
        // Among instances in contact the demand settles who gives up what; a silent one cannot.
        const auto given_up =
            use.silent == 0U ? 0.0 : internal::seconds(elapsed) / internal::seconds(internal::correction);
        return std::min(by_demand, std::max(limit.share + free * std::min(given_up, 1.0), 0.0));
    }

    void update_share(internal::allowance& limit, const time_point now) {
        const auto elapsed = now - limit.share_updated;
        if (elapsed < internal::share_period && limit.share_updated != time_point{}) {
            return;
        }
        const auto entitled = this->entitled_share(limit, elapsed, now);
        const auto growth = 1.0 - std::exp(-internal::seconds(elapsed) / internal::seconds(this->rule.share_growth));
        if (entitled < limit.share || this->alone) {
            limit.share = entitled;
        } else if (limit.share_updated != time_point{} && this->peers.fresh(now) && this->peers.in_majority(now)) {
            limit.share += (entitled - limit.share) * growth;
        }
        limit.share_updated = now;
    }

    [[nodiscard]] double local_rate(const internal::allowance& limit, const time_point now) const {
        const auto floor = this->rule.slack * internal::slack_over_window /
                           (internal::seconds(this->rule.window) * this->sharing_instances(now));
        return limit.rate * limit.share + floor;
    }

    /*! @brief Returns how many tokens may be missing while all instances are in contact and need less than the limit.
     */
    [[nodiscard]] double allowed_overdraft(const internal::allowance& limit, const time_point now) const {
        if (this->alone || !this->peers.fresh(now) || !this->peers.in_majority(now)) {
            return 0.0;
        }
        const auto use = this->peers.use_of(limit.hash, now);
        const auto known = std::max(this->own_demand(limit, now) + use.demand, use.largest_known);
        if (use.silent > 0U || known > limit.rate * internal::nearly_used) {
            return 0.0;
        }
        const auto spare = this->rule.excess * (limit.rate * internal::seconds(this->rule.window) + limit.burst) +
                           this->rule.slack * (1.0 - internal::slack_as_burst - internal::slack_over_window);
        return internal::overdraft * spare / this->sharing_instances(now);
    }

    [[nodiscard]] double local_burst(const internal::allowance& limit, const time_point now) const {
        const auto least =
            internal::excess_as_burst * this->rule.excess * limit.rate * internal::seconds(this->rule.window);
        const auto floor = this->rule.slack * internal::slack_as_burst / this->sharing_instances(now);
        return std::max(limit.burst, least) * limit.share + floor;
    }

    [[nodiscard]] bool has_token(const internal::allowance& limit, const time_point now) const {
        return limit.tokens >= 1.0 || limit.tokens + this->allowed_overdraft(limit, now) >= 1.0;
    }

    /*! @brief Returns when a request that is refused now may come back, and counts it as promised. */
    [[nodiscard]] duration promise(internal::allowance& limit, const time_point now) const {
        limit.promised += 1.0;
        const auto rate = this->local_rate(limit, now);
        const auto missing = std::max(limit.promised - limit.tokens, 0.0);
        const auto longest = internal::seconds(internal::longest_wait);
        const auto wait = rate > 0.0 ? std::min(missing / rate, longest) : longest;
        limit.promised = std::min(limit.promised, rate * longest);
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>{wait});
    }

    void refill(internal::allowance& limit, const time_point now) {
        this->update_share(limit, now);
        this->add_tokens(limit, now);
    }

    void add_tokens(internal::allowance& limit, const time_point now) const {
        const auto elapsed = limit.refilled == time_point{} ? duration::zero() : now - limit.refilled;
        const auto added = this->local_rate(limit, now) * internal::seconds(elapsed);
        limit.tokens = std::min(limit.tokens + added, this->local_burst(limit, now));
        limit.promised = std::max(limit.promised - added, 0.0);
        limit.refilled = now;
    }

    /*! @brief Returns the demand by hash of the key, ordered by hash. */
    [[nodiscard]] std::map<std::uint32_t, reported_demand> demands(const time_point now) {
        std::map<std::uint32_t, reported_demand> found{};
        for (const auto key : this->peers.keys(now)) {
            found[key].key = key;
        }
        for (auto& [key, limit] : this->limits) {
            this->update_share(limit, now);
            const auto own = this->own_demand(limit, now);
            found[limit.hash] = {limit.hash, own, 0.0, limit.share, 0.0};
        }
        for (auto& [key, demand] : found) {
            const auto use = this->peers.use_of(key, now);
            demand.known = demand.own + use.demand + use.silent_demand;
            demand.used = demand.share + use.shares;
        }
        return found;
    }

    /*! @brief Returns whether the others must know of a limit at once: it is nearly used up, or its use here has
     * changed.
     */
    [[nodiscard]] static bool is_urgent(const internal::allowance& limit, const reported_demand& demand) noexcept {
        const bool nearly_used = demand.known > limit.rate * internal::nearly_used;
        const bool share_moved = std::abs(limit.share - limit.reported_share) > internal::share_change;
        const bool demand_moved = std::abs(demand.own - limit.reported) > limit.rate * internal::sudden_change;
        return nearly_used || share_moved || demand_moved;
    }

    /*! @brief Returns what the next report lists, ordered by hash of the key. */
    [[nodiscard]] std::map<std::uint32_t, reported_demand> take_reported(const bool partial, const time_point now) {
        auto all = this->demands(now);
        std::map<std::uint32_t, reported_demand> urgent{};
        for (auto& [key, limit] : this->limits) {
            const auto& demand = all.at(limit.hash);
            if (partial && !is_urgent(limit, demand)) {
                continue;
            }
            limit.reported_share = limit.share;
            limit.reported = demand.own;
            urgent.emplace(limit.hash, demand);
        }
        return partial ? urgent : all;
    }
};

allowance_table::allowance_table(const allowance_rule& bounds, const std::string_view own_name,
                                 const std::uint64_t incarnation)
    : self{std::make_unique<implementation>(implementation{bounds, incarnation, reporting_peers{bounds, own_name}})} {}

allowance_table::~allowance_table() = default;

void allowance_table::configure(const std::span<const allowance_limit> limits, const time_point now) {
    auto previous = std::exchange(this->self->limits, {});
    for (const auto& limit : limits) {
        if (limit.rate <= 0.0) {
            continue;
        }
        const auto known = previous.find(limit.key);
        auto& entry = this->self->limits[limit.key];
        if (known != previous.end()) {
            entry = known->second;
        }
        entry.rate = limit.rate;
        entry.burst = limit.burst;
        entry.hash = internal::hash_of(limit.key);
        this->self->refill(entry, now);
    }
}

void allowance_table::set_fleet(const std::size_t instances, const bool alone, const time_point now) noexcept {
    auto& state = *this->self;
    state.alone = alone;
    // A number that falls may be this instance's view only.
    if (instances >= state.instances || now - state.instances_seen > state.rule.instances_memory) {
        state.instances = std::max<std::size_t>(instances, 1U);
        state.instances_seen = now;
    }
    state.peers.expect(std::max<std::size_t>(instances, 1U));
    state.peers.expire(now);
}

bool allowance_table::try_take(const std::string_view key, const time_point now) {
    auto* limit = this->self->find(key);
    if (limit == nullptr) {
        return true;
    }
    limit->demand.count(now, this->self->rule.demand_smoothing);
    this->self->refill(*limit, now);
    if (!this->self->has_token(*limit, now)) {
        return false;
    }
    limit->tokens -= 1.0;
    return true;
}

void allowance_table::give_back(const std::string_view key, const time_point now) {
    if (auto* limit = this->self->find(key)) {
        this->self->refill(*limit, now);
        limit->tokens = std::min(limit->tokens + 1.0, std::max(this->self->local_burst(*limit, now), 1.0));
    }
}

duration allowance_table::time_to_token(const std::string_view key, const time_point now) {
    auto* limit = this->self->find(key);
    if (limit == nullptr) {
        return duration::zero();
    }
    this->self->refill(*limit, now);
    return this->self->promise(*limit, now);
}

std::vector<std::string> allowance_table::reports(const time_point now) {
    auto& state = *this->self;
    const bool partial = state.reports_made++ % internal::reports_per_full_report != 0U;
    std::vector<allowance_report> parts(1U);
    for (const auto& [key, demand] : state.take_reported(partial, now)) {
        if (parts.back().demands.size() == internal::demands_per_report) {
            parts.back().last_key = key - 1U;
            parts.emplace_back().first_key = key;
        }
        parts.back().demands.push_back(demand);
    }
    std::vector<std::uint32_t> heard{};
    for (const auto& name : state.peers.heard(now)) {
        heard.push_back(reporting_peers::hash_of_name(name));
    }
    std::vector<std::string> encoded{};
    for (auto& part : parts) {
        part.incarnation = state.incarnation;
        part.heard = heard;
        part.partial = partial;
        encoded.push_back(encode_report(part));
    }
    return encoded;
}

std::string allowance_table::leaving_report() const {
    allowance_report report{};
    report.incarnation = this->self->incarnation;
    report.leaving = true;
    return encode_report(report);
}

bool allowance_table::receive(const std::string_view sender, const std::string_view bytes, const time_point now) {
    const auto report = decode_report(bytes);
    if (report) {
        this->self->peers.receive(sender, *report, now);
    }
    return report.has_value();
}

std::vector<std::string> allowance_table::senders(const time_point now) const {
    return this->self->peers.heard(now);
}

bool allowance_table::limited() const noexcept {
    return !this->self->limits.empty();
}

bool allowance_table::in_demand(const time_point now) const {
    return std::any_of(this->self->limits.begin(), this->self->limits.end(),
                       [this, now](const auto& entry) { return this->self->own_demand(entry.second, now) > 0.0; });
}

std::optional<allowance_table::limit_preview> allowance_table::preview(const std::string_view key,
                                                                       const time_point now) const {
    const auto known = this->self->limits.find(key);
    if (known == this->self->limits.end()) {
        return std::nullopt;
    }
    auto limit = known->second;
    limit.demand.count(now, this->self->rule.demand_smoothing);
    this->self->add_tokens(limit, now);
    limit_preview found{limit.rate, limit.burst, limit.share, limit.tokens, this->self->has_token(limit, now), {}};
    if (!found.admitted) {
        found.retry_after = this->self->promise(limit, now);
    }
    return found;
}

nlohmann::json allowance_table::describe(const time_point now) const {
    auto limits = nlohmann::json::object();
    for (const auto& [key, limit] : this->self->limits) {
        limits[key] = {{"rate", limit.rate},
                       {"burst", limit.burst},
                       {"share", limit.share},
                       {"tokens", limit.tokens},
                       {"demand", this->self->own_demand(limit, now)},
                       {"demand_of_others", this->self->peers.use_of(limit.hash, now).demand}};
    }
    return {{"limits", std::move(limits)},
            {"instances", this->self->instances},
            {"peers_in_contact", this->self->peers.in_contact(now)},
            {"peers_reserved", this->self->peers.reserved(now)}};
}

} // namespace mangopulley
