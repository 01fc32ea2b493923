#include "catalogue_freshness.hpp"

#include <algorithm>
#include <mutex>
#include <unordered_map>
#include <utility>

namespace mangopulley {

namespace internal {

struct peer_evidence {
    time_point last_reply{};
    std::uint64_t version{};
    std::optional<time_point> store_contact{};
};

void raise_to(std::optional<time_point>& value, const time_point to) {
    value = value ? std::max(*value, to) : to;
}

} // namespace internal

struct catalogue_freshness::implementation {
    const clock& time;
    callbacks sources;
    mutable std::mutex guard{};
    time_point last_tick;
    /*! @brief Evidence from before this time is invalid, since the process may have been frozen then. */
    time_point evidence_valid_from;
    /*! @brief Last confirmation that no tick gap has invalidated. */
    std::optional<time_point> last_confirmed{};
    /*! @brief Last confirmation, valid or not; `serve_unconfirmed` counts from it. */
    std::optional<time_point> last_confirmed_ever{};
    std::optional<time_point> last_store_contact{};
    std::optional<time_point> last_contact{};
    std::unordered_map<incarnation_id, internal::peer_evidence> peers{};
    /*! @brief Start of the store outage with more than half of the instances in contact. No edit is accepted during it,
     * so that versions reported since then stay valid; this is needed because contacting half of a large fleet takes
     * longer than `max_confirmation_age`. */
    time_point outage_since;
    /*! @brief Whether no edit can have been missed since the last confirmation. */
    bool no_missed_edit{};
    std::uint64_t tick_gaps{};

    implementation(const clock& source, callbacks callback_set)
        : time{source}, sources{std::move(callback_set)}, last_tick{source.now()}, evidence_valid_from{last_tick},
          outage_since{last_tick} {}

    [[nodiscard]] bool has_tick_gap(const time_point now) const { return now - this->last_tick > max_tick_gap; }

    void confirm(const time_point at) {
        internal::raise_to(this->last_confirmed, at);
        internal::raise_to(this->last_confirmed_ever, at);
        this->no_missed_edit = true;
    }

    [[nodiscard]] static std::optional<duration> age(const std::optional<time_point> at, const time_point now) {
        return at ? std::optional{std::max(duration::zero(), duration{now - *at})} : std::nullopt;
    }

    /**
     * @brief Returns whether the catalogue version in force is the latest one during a store outage.
     *
     * No recent peer report may show a higher version. Unless no edit can have been missed, more than half of the known
     * instances, this one included, must also have reported their version since the start of the outage.
     */
    [[nodiscard]] bool own_version_is_latest(const time_point since, const std::uint64_t own,
                                             const std::size_t known) const {
        std::size_t agreeing{1U};
        for (const auto& [peer, known_peer] : this->peers) {
            if (known_peer.last_reply >= since && known_peer.version > own) {
                return false;
            }
            agreeing += known_peer.last_reply >= this->outage_since ? 1U : 0U;
        }
        return this->no_missed_edit || agreeing * 2U > known;
    }

    [[nodiscard]] freshness_state evaluate(const time_point now, const std::uint64_t own,
                                           const contact_counts counts) const {
        if (this->has_tick_gap(now)) {
            return freshness_state::isolated;
        }
        if (this->last_confirmed && now - *this->last_confirmed <= max_confirmation_age) {
            return freshness_state::confirmed;
        }
        return this->in_outage(now, counts) &&
                       this->own_version_is_latest(now - max_confirmation_age, own, counts.known)
                   ? freshness_state::store_outage
                   : freshness_state::isolated;
    }

    [[nodiscard]] bool in_outage(const time_point now, const contact_counts counts) const {
        const auto recent = [now](const std::optional<time_point> at) {
            return at && now - *at <= max_confirmation_age;
        };
        const bool store_is_up = recent(this->last_store_contact) ||
                                 std::any_of(this->peers.begin(), this->peers.end(),
                                             [&](const auto& item) { return recent(item.second.store_contact); });
        return !store_is_up && counts.in_contact * 2U > counts.known;
    }

    /*! @brief Calls into other components without holding the lock, since they have locks of their own. */
    [[nodiscard]] contact_counts count_contacts(const time_point now) const {
        const auto since = [&] {
            const std::lock_guard lock{this->guard};
            return std::max(now - max_confirmation_age, this->evidence_valid_from);
        }();
        return this->sources.contacts(since);
    }

    [[nodiscard]] freshness_state evaluate_now(const time_point now) const {
        const auto own = this->sources.own_version();
        const auto counts = this->count_contacts(now);
        const std::lock_guard lock{this->guard};
        return this->evaluate(now, own, counts);
    }
};

catalogue_freshness::catalogue_freshness(const clock& time, callbacks sources)
    : self{std::make_unique<implementation>(time, std::move(sources))} {}

catalogue_freshness::~catalogue_freshness() = default;

void catalogue_freshness::tick() {
    const auto now = this->self->time.now();
    {
        const std::lock_guard lock{this->self->guard};
        if (this->self->has_tick_gap(now)) {
            this->self->evidence_valid_from = now;
            this->self->outage_since = now;
            this->self->last_confirmed.reset();
            this->self->last_store_contact.reset();
            this->self->last_contact.reset();
            this->self->peers.clear();
            this->self->no_missed_edit = false;
            ++this->self->tick_gaps;
        }
        this->self->last_tick = now;
        std::erase_if(this->self->peers,
                      [now](const auto& item) { return now - item.second.last_reply > milliseconds{60'000}; });
    }
    const auto own = this->self->sources.own_version();
    const auto counts = this->self->count_contacts(now);
    const std::lock_guard lock{this->self->guard};
    if (!this->self->in_outage(now, counts)) {
        this->self->outage_since = now;
    }
    const bool isolated = this->self->evaluate(now, own, counts) == freshness_state::isolated;
    if (isolated && (!this->self->last_confirmed || now - *this->self->last_confirmed > stop_serving_age)) {
        this->self->no_missed_edit = false;
    }
}

void catalogue_freshness::record_store_response(const time_point sent, const std::uint64_t version) {
    const auto own = this->self->sources.own_version();
    this->record_store_contact(sent);
    const std::lock_guard lock{this->self->guard};
    if (sent >= this->self->evidence_valid_from && own >= version) {
        this->self->confirm(sent);
    }
}

void catalogue_freshness::record_store_contact(const time_point sent) {
    const std::lock_guard lock{this->self->guard};
    if (sent >= this->self->evidence_valid_from) {
        internal::raise_to(this->self->last_store_contact, sent);
        internal::raise_to(this->self->last_contact, sent);
    }
}

void catalogue_freshness::record_peer_reply(const peer_report& report) {
    const auto own = this->self->sources.own_version();
    const std::lock_guard lock{this->self->guard};
    if (report.sent < this->self->evidence_valid_from) {
        return;
    }
    internal::raise_to(this->self->last_contact, report.sent);
    auto& known_peer = this->self->peers[report.peer];
    known_peer.last_reply = std::max(known_peer.last_reply, report.sent);
    known_peer.version = std::max(known_peer.version, report.version);
    if (report.store_age) {
        internal::raise_to(known_peer.store_contact, report.sent - *report.store_age);
    }
    if (report.confirmation_age && report.version <= own && *report.confirmation_age <= max_confirmation_age) {
        this->self->confirm(report.sent - *report.confirmation_age);
    }
}

freshness_state catalogue_freshness::state() const {
    return this->self->evaluate_now(this->self->time.now());
}

bool catalogue_freshness::serving(const std::optional<milliseconds> serve_unconfirmed) const {
    const auto now = this->self->time.now();
    if (this->self->evaluate_now(now) != freshness_state::isolated) {
        return true;
    }
    const std::lock_guard lock{this->self->guard};
    if (serve_unconfirmed) {
        return this->self->last_confirmed_ever && now - *this->self->last_confirmed_ever < *serve_unconfirmed;
    }
    return !this->self->has_tick_gap(now) && this->self->last_confirmed &&
           now - *this->self->last_confirmed < stop_serving_age;
}

std::optional<duration> catalogue_freshness::age_of_confirmation() const {
    const auto now = this->self->time.now();
    const std::lock_guard lock{this->self->guard};
    return this->self->has_tick_gap(now) ? std::nullopt : implementation::age(this->self->last_confirmed, now);
}

std::optional<duration> catalogue_freshness::age_of_store_contact() const {
    const auto now = this->self->time.now();
    const std::lock_guard lock{this->self->guard};
    return this->self->has_tick_gap(now) ? std::nullopt : implementation::age(this->self->last_store_contact, now);
}

std::optional<duration> catalogue_freshness::age_of_contact() const {
    const auto now = this->self->time.now();
    const std::lock_guard lock{this->self->guard};
    return this->self->has_tick_gap(now) ? std::nullopt : implementation::age(this->self->last_contact, now);
}

std::uint64_t catalogue_freshness::tick_gaps() const {
    const std::lock_guard lock{this->self->guard};
    return this->self->tick_gaps;
}

} // namespace mangopulley
