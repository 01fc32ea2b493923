#include "standing.hpp"

#include <algorithm>
#include <mutex>
#include <unordered_map>
#include <utility>

namespace mangopulley {

namespace internal {

struct peer_facts {
    time_point heard{};
    std::uint64_t version{};
    std::optional<time_point> store_contact{};
};

void raise(std::optional<time_point>& value, const time_point to) {
    value = value ? std::max(*value, to) : to;
}

} // namespace internal

struct standing::implementation {
    const clock& time;
    facts sources;
    mutable std::mutex guard{};
    time_point last_tick;
    /*! @brief Evidence from before this time is void. */
    time_point valid_from;
    /*! @brief Last confirmation that no gap has voided. */
    std::optional<time_point> confirmed{};
    /*! @brief Last confirmation of all; bounds `serve_unconfirmed`. */
    std::optional<time_point> ever_confirmed{};
    std::optional<time_point> store_contact{};
    std::optional<time_point> contact{};
    std::unordered_map<incarnation_id, internal::peer_facts> peers{};
    /*! @brief Start of the time without a reachable store and with more than half of the instances in contact. No edit
     * is accepted in it, so that versions heard in it still hold; asking half of a large fleet takes longer than the
     * confirmation bound. */
    time_point outage_from;
    /*! @brief Whether no edit can have passed unnoticed since the last confirmation. */
    bool continuous{};
    std::uint64_t gaps{};

    implementation(const clock& source, facts given)
        : time{source}, sources{std::move(given)}, last_tick{source.now()}, valid_from{last_tick}, outage_from{
                                                                                                       last_tick} {}

    [[nodiscard]] bool gap(const time_point now) const { return now - this->last_tick > longest_tick_gap; }

    void confirm(const time_point at) {
        internal::raise(this->confirmed, at);
        internal::raise(this->ever_confirmed, at);
        this->continuous = true;
    }

    [[nodiscard]] static std::optional<duration> age(const std::optional<time_point> at, const time_point now) {
        return at ? std::optional{std::max(duration::zero(), duration{now - *at})} : std::nullopt;
    }

    /*! @brief The own version is the highest that more than half of the known instances, this one included, hold. */
    [[nodiscard]] bool current(const time_point since, const std::uint64_t own, const std::size_t known) const {
        std::size_t agreeing{1U};
        for (const auto& [peer, known_of] : this->peers) {
            if (known_of.heard >= since && known_of.version > own) {
                return false;
            }
            agreeing += known_of.heard >= this->outage_from ? 1U : 0U;
        }
        return this->continuous || agreeing * 2U > known;
    }

    [[nodiscard]] standing_state judge(const time_point now, const std::uint64_t own,
                                       const contact_counts counts) const {
        if (this->gap(now)) {
            return standing_state::isolated;
        }
        if (this->confirmed && now - *this->confirmed <= confirmation_bound) {
            return standing_state::confirmed;
        }
        return this->in_outage(now, counts) && this->current(now - confirmation_bound, own, counts.known)
                   ? standing_state::store_outage
                   : standing_state::isolated;
    }

    [[nodiscard]] bool in_outage(const time_point now, const contact_counts counts) const {
        const auto recent = [now](const std::optional<time_point> at) { return at && now - *at <= confirmation_bound; };
        const bool store_is_up = recent(this->store_contact) ||
                                 std::any_of(this->peers.begin(), this->peers.end(),
                                             [&](const auto& item) { return recent(item.second.store_contact); });
        return !store_is_up && counts.in_contact * 2U > counts.known;
    }

    /*! @brief Asks the other parts without the lock held, since they have locks of their own. */
    [[nodiscard]] contact_counts count_contacts(const time_point now) const {
        const auto since = [&] {
            const std::lock_guard lock{this->guard};
            return std::max(now - confirmation_bound, this->valid_from);
        }();
        return this->sources.contacts(since);
    }

    [[nodiscard]] standing_state judge_now(const time_point now) const {
        const auto own = this->sources.own_version();
        const auto counts = this->count_contacts(now);
        const std::lock_guard lock{this->guard};
        return this->judge(now, own, counts);
    }
};

standing::standing(const clock& time, facts sources)
    : self{std::make_unique<implementation>(time, std::move(sources))} {}

standing::~standing() = default;

void standing::tick() {
    const auto now = this->self->time.now();
    {
        const std::lock_guard lock{this->self->guard};
        if (this->self->gap(now)) {
            this->self->valid_from = now;
            this->self->outage_from = now;
            this->self->confirmed.reset();
            this->self->store_contact.reset();
            this->self->contact.reset();
            this->self->peers.clear();
            this->self->continuous = false;
            ++this->self->gaps;
        }
        this->self->last_tick = now;
        std::erase_if(this->self->peers,
                      [now](const auto& item) { return now - item.second.heard > milliseconds{60'000}; });
    }
    const auto own = this->self->sources.own_version();
    const auto counts = this->self->count_contacts(now);
    const std::lock_guard lock{this->self->guard};
    if (!this->self->in_outage(now, counts)) {
        this->self->outage_from = now;
    }
    const bool isolated = this->self->judge(now, own, counts) == standing_state::isolated;
    if (isolated && (!this->self->confirmed || now - *this->self->confirmed > serving_bound)) {
        this->self->continuous = false;
    }
}

void standing::store_answered(const time_point sent, const std::uint64_t version) {
    const auto own = this->self->sources.own_version();
    this->store_reached(sent);
    const std::lock_guard lock{this->self->guard};
    if (sent >= this->self->valid_from && own >= version) {
        this->self->confirm(sent);
    }
}

void standing::store_reached(const time_point sent) {
    const std::lock_guard lock{this->self->guard};
    if (sent >= this->self->valid_from) {
        internal::raise(this->self->store_contact, sent);
        internal::raise(this->self->contact, sent);
    }
}

void standing::peer_answered(const peer_report& report) {
    const auto own = this->self->sources.own_version();
    const std::lock_guard lock{this->self->guard};
    if (report.sent < this->self->valid_from) {
        return;
    }
    internal::raise(this->self->contact, report.sent);
    auto& known = this->self->peers[report.peer];
    known.heard = std::max(known.heard, report.sent);
    known.version = std::max(known.version, report.version);
    if (report.store_age) {
        internal::raise(known.store_contact, report.sent - *report.store_age);
    }
    if (report.confirmation_age && report.version <= own && *report.confirmation_age <= confirmation_bound) {
        this->self->confirm(report.sent - *report.confirmation_age);
    }
}

standing_state standing::state() const {
    return this->self->judge_now(this->self->time.now());
}

bool standing::serving(const std::optional<milliseconds> serve_unconfirmed) const {
    const auto now = this->self->time.now();
    if (this->self->judge_now(now) != standing_state::isolated) {
        return true;
    }
    const std::lock_guard lock{this->self->guard};
    if (serve_unconfirmed) {
        return this->self->ever_confirmed && now - *this->self->ever_confirmed < *serve_unconfirmed;
    }
    return !this->self->gap(now) && this->self->confirmed && now - *this->self->confirmed < serving_bound;
}

std::optional<duration> standing::age_of_confirmation() const {
    const auto now = this->self->time.now();
    const std::lock_guard lock{this->self->guard};
    return this->self->gap(now) ? std::nullopt : implementation::age(this->self->confirmed, now);
}

std::optional<duration> standing::age_of_store_contact() const {
    const auto now = this->self->time.now();
    const std::lock_guard lock{this->self->guard};
    return this->self->gap(now) ? std::nullopt : implementation::age(this->self->store_contact, now);
}

std::optional<duration> standing::age_of_contact() const {
    const auto now = this->self->time.now();
    const std::lock_guard lock{this->self->guard};
    return this->self->gap(now) ? std::nullopt : implementation::age(this->self->contact, now);
}

std::uint64_t standing::gaps() const {
    const std::lock_guard lock{this->self->guard};
    return this->self->gaps;
}

} // namespace mangopulley
