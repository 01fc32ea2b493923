#include "evacuation_follower.hpp"

#include <algorithm>
#include <utility>

#include "document_state.hpp"

namespace mangopulley {

namespace internal {

namespace {

constexpr duration evacuation_period{std::chrono::milliseconds{25}};
// The bound that the default parameters keep.
constexpr duration usual_bound{std::chrono::seconds{5}};

[[nodiscard]] std::string joined(const std::vector<std::string>& zones) {
    std::string text{};
    for (const auto& zone : zones) {
        text.append(text.empty() ? "" : ",").append(zone);
    }
    return text;
}

} // namespace

} // namespace internal

struct evacuation_follower::implementation {
    dependencies deps;
    evacuation_rule rule;
    evacuation_set held{};
    internal::document_state state{};
    bool enabled{};
    bool settled{};
    time_point started{};
    time_point last_call{};
    std::uint64_t reads{};
    timer_id timer{};

    [[nodiscard]] time_point now() const noexcept { return this->deps.loop.now(); }

    void follow() {
        const auto time = this->now();
        if (!this->settled && time - this->started >= this->rule.longest_first_wait) {
            this->deps.log.change("evacuations_unknown", {{"waited_ms", internal::age_text(time - this->started)}});
            this->settle();
        }
        // Computing the rank visits all instances; nothing is due before the age allowed for rank 0.
        if (this->state.age(time) < this->rule.read_age || this->state.read.under_way(time)) {
            return;
        }
        const bool waiting = !this->state.as_of && time - this->started < this->deps.first_read_delay();
        if (!waiting && this->due(this->deps.rank(), time)) {
            this->read();
        }
    }

    [[nodiscard]] bool due(const std::size_t rank, const time_point time) const noexcept {
        const auto age = this->state.age(time);
        if (time < this->state.pause_until) {
            const auto places = static_cast<std::int64_t>(std::min(rank, this->rule.timely_ranks));
            return age >= this->rule.stale_age + this->rule.stale_age_per_rank * places &&
                   time - this->last_call >= this->rule.stale_retry_pause;
        }
        return age >= this->allowed_age(rank);
    }

    [[nodiscard]] duration allowed_age(const std::size_t rank) const noexcept {
        if (rank < this->rule.timely_ranks) {
            return this->rule.read_age + this->rule.age_per_rank * static_cast<std::int64_t>(rank);
        }
        const auto step = static_cast<std::int64_t>(this->deps.incarnation % this->rule.late_age_steps);
        return this->rule.late_age + this->rule.late_age_step * step;
    }

    void read() {
        const internal::source_read source{this->now(), internal::read_number(this->deps.incarnation, ++this->reads)};
        this->last_call = source.as_of;
        this->state.read.begin(source.as_of, this->rule.lost_call);
        this->deps.platform.read_evacuations(this->rule.call_timeout,
                                             [this, source](platform_result<evacuation_set>&& outcome) {
                                                 this->state.read.end();
                                                 if (!this->enabled) {
                                                     return;
                                                 }
                                                 if (auto* found = std::get_if<evacuation_set>(&outcome)) {
                                                     this->handle_read(std::move(*found), source);
                                                 } else {
                                                     this->handle_failure(std::get<platform_error>(outcome));
                                                 }
                                             });
    }

    void handle_read(evacuation_set&& found, const internal::source_read& source) {
        const bool overtaken = this->state.as_of && source.as_of <= *this->state.as_of;
        if (found.position < this->held.position && overtaken) {
            return;
        }
        if (found.position < this->held.position) {
            this->handle_failure(
                {platform_error::reason::outdated, "revision " + std::to_string(found.position.revision)});
            return;
        }
        this->state.pause_until = {};
        if (std::exchange(this->state.failing, false)) {
            this->deps.log.change("platform_regained", {{"document", "evacuations"},
                                                        {"age_ms", internal::age_text(this->state.age(this->now()))}});
        }
        this->apply(std::move(found), source, "platform");
        this->deps.announce();
    }

    void handle_failure(const platform_error& error) {
        this->state.pause_until = this->now() + this->rule.retry_pause;
        if (!std::exchange(this->state.failing, true)) {
            this->deps.log.change("platform_lost", {{"document", "evacuations"},
                                                    {"cause", std::string{name_of(error.why)}},
                                                    {"detail", error.detail},
                                                    {"age_ms", internal::age_text(this->state.age(this->now()))}});
        }
    }

    /*! @brief Takes over a set that is not older than the one in use. A newer epoch has a higher position, also if its
     * store lost what it had acknowledged. */
    void apply(evacuation_set&& found, const internal::source_read& source, const std::string& from) {
        const bool changed = found.zones != this->held.zones;
        if (changed) {
            this->deps.log.change("evacuations_changed", {{"zones", internal::joined(found.zones)},
                                                          {"previous", internal::joined(this->held.zones)},
                                                          {"epoch", std::to_string(found.position.epoch)},
                                                          {"revision", std::to_string(found.position.revision)},
                                                          {"from", from},
                                                          {"age_ms", internal::age_text(this->now() - source.as_of)}});
            // First, so that a set that could not be passed on is not taken for the one in use.
            this->deps.changed(found.zones);
        }
        this->held = std::move(found);
        this->state.confirm(source);
        if (!this->settled) {
            this->settle();
        }
    }

    void settle() {
        this->settled = true;
        this->deps.changed(this->held.zones);
    }

    void receive(const std::string& ip, const peer_record& record) {
        if (!this->enabled || record.evacuations.position.revision == 0U ||
            record.evacuations.position < this->held.position) {
            return;
        }
        const auto time = this->now();
        const internal::source_read source{
            this->state.reported.earliest(record.evacuations_read, time - record.evacuations_age, time),
            record.evacuations_read};
        this->apply(evacuation_set{record.evacuations}, source, ip);
    }

    void stop() {
        this->deps.loop.cancel(std::exchange(this->timer, timer_id{}));
        this->enabled = false;
    }
};

evacuation_follower::evacuation_follower(dependencies deps, const evacuation_rule& bounds)
    : self{std::make_unique<implementation>(implementation{std::move(deps), bounds})} {}

evacuation_follower::~evacuation_follower() {
    this->self->stop();
}

void evacuation_follower::enable(const evacuation_rule& bounds) {
    auto& state = *this->self;
    state.rule = bounds;
    if (!std::exchange(state.enabled, true)) {
        state.started = state.now();
        state.settled = false;
        state.timer = state.deps.loop.every(internal::evacuation_period, [&state] { state.follow(); });
    }
}

void evacuation_follower::disable() {
    auto& state = *this->self;
    if (state.enabled) {
        state.stop();
        state.held = {};
        state.state = {};
        state.deps.changed({});
    }
}

void evacuation_follower::receive(const std::string& ip, const peer_record& record) {
    this->self->receive(ip, record);
}

void evacuation_follower::describe(peer_record& record) const {
    if (!this->self->state.as_of) {
        return;
    }
    record.evacuations = this->self->held;
    record.evacuations_read = this->self->state.read_number;
    record.evacuations_age = this->age();
}

bool evacuation_follower::settled() const noexcept {
    return !this->self->enabled || this->self->settled;
}

bool evacuation_follower::enabled() const noexcept {
    return this->self->enabled;
}

const evacuation_set& evacuation_follower::current() const noexcept {
    return this->self->held;
}

duration evacuation_follower::age() const noexcept {
    return this->self->state.age(this->self->now());
}

evacuation_rule make_evacuation_rule(const duration bound) noexcept {
    evacuation_rule rule{};
    if (bound < internal::usual_bound) {
        const auto scaled = [bound](const duration time) {
            const auto factor = static_cast<double>(bound.count()) / static_cast<double>(internal::usual_bound.count());
            return std::chrono::duration_cast<duration>(time * factor);
        };
        rule.read_age = scaled(rule.read_age);
        rule.age_per_rank = scaled(rule.age_per_rank);
        rule.call_timeout = scaled(rule.call_timeout);
    }
    return rule;
}

} // namespace mangopulley
