#include "platform_follower.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include "document_codec.hpp"
#include "document_state.hpp"
#include "target_history.hpp"
#include "usable_targets.hpp"

namespace mangopulley {

namespace internal {

namespace {

constexpr duration follow_period{std::chrono::milliseconds{25}};

} // namespace

} // namespace internal

struct platform_follower::implementation {
    dependencies deps;
    follower_rule rule;
    routing_config config{};
    target_list listed{};
    std::uint64_t digest{};
    target_history history{};
    bool fetch_whole_list{};
    internal::document_state targets{};
    internal::document_state configs{};
    usable_targets usable{};
    internal::open_call departures_fetch{};
    /*! @brief When the targets are passed on again, after that failed. */
    std::optional<time_point> publish_again{};
    std::uint64_t reads{};
    /*! @brief Newest epoch of the store that is known. */
    std::uint64_t epoch{};
    /*! @brief Last configuration that was found to be older than the one in use. */
    config_id last_outdated{};
    time_point started{};
    timer_id timer{};

    [[nodiscard]] time_point now() const noexcept { return this->deps.loop.now(); }

    [[nodiscard]] duration allowed_age() const {
        const auto rank = static_cast<std::int64_t>(std::min<std::size_t>(this->deps.rank(), 32U));
        return std::min(this->rule.read_age + rank * this->rule.age_per_rank, this->rule.max_age);
    }

    void follow() {
        const auto time = this->now();
        this->expire_missing(time);
        if (this->publish_again && time >= *this->publish_again) {
            this->publish();
        }
        // Computing the rank visits all instances; nothing is due before the age allowed for rank 0.
        if (std::max(this->targets.age(time), this->configs.age(time)) < this->rule.read_age) {
            return;
        }
        const auto allowed = this->allowed_age();
        const bool waiting = time - this->started < this->deps.first_read_delay();
        if (this->due(this->targets, allowed, time) && (this->targets.as_of || !waiting)) {
            this->read_targets();
        }
        if (this->due(this->configs, allowed, time) && (this->configs.as_of || !waiting)) {
            this->read_config();
        }
    }

    [[nodiscard]] static bool due(const internal::document_state& state, const duration allowed,
                                  const time_point time) {
        return !state.read.under_way(time) && time >= state.pause_until && state.age(time) >= allowed;
    }

    [[nodiscard]] internal::source_read begin_read() {
        return {this->now(), internal::read_number(this->deps.incarnation, ++this->reads)};
    }

    void read_targets() {
        const auto source = this->begin_read();
        this->targets.read.begin(source.as_of, this->rule.lost_call);
        this->deps.platform.read_targets(
            this->rule.call_timeout, [this, source](platform_result<target_list>&& outcome) {
                this->targets.read.end();
                if (auto* list = std::get_if<target_list>(&outcome)) {
                    this->handle_read_targets(std::move(*list), source);
                } else {
                    this->handle_failure("targets", this->targets, std::get<platform_error>(outcome));
                }
            });
    }

    void handle_read_targets(target_list&& list, const internal::source_read& source) {
        if (list.position < this->listed.position) {
            const auto revision = std::to_string(list.position.revision);
            this->handle_failure("targets", this->targets, {platform_error::reason::outdated, "revision " + revision});
            return;
        }
        this->handle_success("targets", this->targets);
        const auto previous_digest = this->digest;
        this->apply_targets(std::move(list), source, "platform");
        this->deps.announce(this->inline_changes(previous_digest));
    }

    [[nodiscard]] std::string inline_changes(const std::uint64_t previous_digest) const {
        const auto changes =
            previous_digest == this->digest ? std::nullopt : this->history.changes_since(previous_digest, this->listed);
        auto bytes = changes ? encode_changes(*changes) : std::string{};
        return bytes.size() <= this->rule.max_inline_change_bytes ? bytes : std::string{};
    }

    void read_config() {
        const auto source = this->begin_read();
        this->configs.read.begin(source.as_of, this->rule.lost_call);
        this->deps.platform.read_config(
            this->rule.call_timeout, [this, source](platform_result<routing_config>&& outcome) {
                this->configs.read.end();
                if (auto* found = std::get_if<routing_config>(&outcome)) {
                    this->handle_success("config", this->configs);
                    // Also when the version found is older, after a restore: the store has no newer one at this time.
                    this->configs.confirm(source);
                    this->apply_config(std::move(*found), source, "platform");
                    this->deps.announce({});
                } else {
                    this->handle_failure("config", this->configs, std::get<platform_error>(outcome));
                }
            });
    }

    /*! @brief Returns the pause before a retry. With the same pause for all, calls would grow with the number of
     * instances. */
    [[nodiscard]] duration pause() const {
        constexpr std::size_t max_doublings = 8U;
        const auto doublings = std::min(this->deps.rank() / this->rule.ranks_per_doubling, max_doublings);
        return std::min(this->rule.retry_pause * (1U << doublings), this->rule.max_retry_pause);
    }

    void handle_failure(const std::string& what, internal::document_state& state, const platform_error& error) {
        state.pause_until = this->now() + this->pause();
        if (!std::exchange(state.failing, true)) {
            this->deps.log.change("platform_lost", {{"document", what},
                                                    {"cause", std::string{name_of(error.why)}},
                                                    {"detail", error.detail},
                                                    {"age_ms", internal::age_text(state.age(this->now()))}});
        }
    }

    /*! @brief Notices that the store was restored from a copy; it may lack what it had acknowledged before. */
    void observe_epoch(const store_position& position, const std::string& from) {
        const auto previous = std::exchange(this->epoch, std::max(this->epoch, position.epoch));
        if (this->epoch != previous && this->initialized()) {
            this->deps.log.change("store_restored",
                                  {{"epoch", std::to_string(this->epoch)},
                                   {"revision", std::to_string(position.revision)},
                                   {"previous_epoch", std::to_string(previous)},
                                   {"config_version", std::to_string(this->config.id.version)},
                                   {"config_revision", std::to_string(this->config.id.position.revision)},
                                   {"targets_revision", std::to_string(this->listed.position.revision)},
                                   {"from", from}});
        }
    }

    [[nodiscard]] bool initialized() const noexcept { return this->targets.as_of && this->config.loaded(); }

    void handle_success(const std::string& what, internal::document_state& state) {
        if (std::exchange(state.failing, false)) {
            this->deps.log.change("platform_regained",
                                  {{"document", what}, {"age_ms", internal::age_text(state.age(this->now()))}});
        }
    }

    void apply_config(routing_config&& found, const internal::source_read& source, const std::string& from) {
        this->observe_epoch(found.id.position, from);
        if (found.id < this->config.id) {
            this->log_kept_config(found.id, from);
            return;
        }
        this->configs.confirm(source);
        if (found.id == this->config.id) {
            return;
        }
        this->deps.log.change("config_changed", {{"version", std::to_string(found.id.version)},
                                                 {"epoch", std::to_string(found.id.position.epoch)},
                                                 {"revision", std::to_string(found.id.position.revision)},
                                                 {"previous", std::to_string(this->config.id.version)},
                                                 {"routes", std::to_string(found.routes.size())},
                                                 {"from", from},
                                                 {"age_ms", internal::age_text(this->now() - source.as_of)}});
        // First, so that a configuration that could not be passed on is not taken for the one in use.
        this->deps.config_changed(found);
        this->config = std::move(found);
    }

    /*! @brief Logs, once for each, a configuration that is not taken because it is older than the one in use. */
    void log_kept_config(const config_id& found, const std::string& from) {
        if (std::exchange(this->last_outdated, found) != found) {
            this->deps.log.change("config_kept", {{"version", std::to_string(this->config.id.version)},
                                                  {"found", std::to_string(found.version)},
                                                  {"epoch", std::to_string(found.position.epoch)},
                                                  {"revision", std::to_string(found.position.revision)},
                                                  {"from", from}});
        }
    }

    void apply_targets(target_list&& found, const internal::source_read& source, const std::string& from) {
        this->observe_epoch(found.position, from);
        const auto as_of = source.as_of;
        if (this->targets.as_of && (as_of < *this->targets.as_of || found.position < this->listed.position)) {
            return;
        }
        const auto time = this->now();
        const bool after_outage = this->follows_outage(as_of, found.position);
        std::sort(found.targets.begin(), found.targets.end(),
                  [](const listed_target& left, const listed_target& right) { return left.id < right.id; });
        const auto next = digest_of(found);
        const bool changed = next != this->digest || !this->targets.as_of;
        const bool restored = this->follows_restore(found.position);
        if (after_outage) {
            this->usable.retain_missing(found, time + this->rule.return_grace);
        }
        if (restored) {
            this->usable.exclude_departed(found, as_of + this->rule.stale_entry_lifetime);
        }
        const bool exclusion_ended = this->usable.end_exclusion(as_of);
        this->targets.as_of = as_of;
        this->targets.read_number = source.number;
        this->listed = std::move(found);
        this->digest = next;
        if (changed) {
            this->history.record(next, this->listed);
        }
        if (changed || after_outage || exclusion_ended) {
            this->log_targets(from, as_of, after_outage);
            this->publish();
        }
    }

    /*! @brief Returns whether the store was restored between the list in use and one of this position. */
    [[nodiscard]] bool follows_restore(const store_position& position) const noexcept {
        return this->targets.as_of && position.epoch > this->listed.position.epoch;
    }

    /*! @brief Returns whether a list may lack entries because the store was away or was restored. */
    [[nodiscard]] bool follows_outage(const time_point as_of, const store_position& position) const noexcept {
        const bool long_gap = this->targets.as_of && as_of - *this->targets.as_of >= this->rule.outage;
        return long_gap || this->follows_restore(position);
    }

    void log_targets(const std::string& from, const time_point as_of, const bool after_outage) {
        const auto draining_count = std::count_if(this->listed.targets.begin(), this->listed.targets.end(),
                                                  [](const listed_target& target) { return target.draining; });
        this->deps.log.change("targets_changed", {{"epoch", std::to_string(this->listed.position.epoch)},
                                                  {"revision", std::to_string(this->listed.position.revision)},
                                                  {"count", std::to_string(this->listed.targets.size())},
                                                  {"leaving", std::to_string(draining_count)},
                                                  {"rejected", std::to_string(this->listed.rejected)},
                                                  {"kept_missing", std::to_string(this->usable.missing_count())},
                                                  {"excluded", std::to_string(this->usable.excluded_count())},
                                                  {"after_outage", after_outage ? "yes" : "no"},
                                                  {"from", from},
                                                  {"age_ms", internal::age_text(this->now() - as_of)}});
    }

    void expire_missing(const time_point time) {
        const auto count = this->usable.expire_missing(time);
        if (count > 0U) {
            this->deps.log.change("targets_gone", {{"count", std::to_string(count)}});
            this->publish();
        }
    }

    void publish() {
        this->publish_again = this->now() + this->rule.retry_pause;
        this->usable.update(this->listed);
        this->deps.targets_changed(this->usable.list());
        this->publish_again.reset();
    }

    // Documents of other instances

    void receive(const std::string& ip, const peer_record& record, const std::string_view target_changes) {
        const auto time = this->now();
        this->receive_config(ip, record, time);
        if (this->needs_departures(record)) {
            this->fetch_departures(ip);
            return;
        }
        this->receive_targets(ip, record, target_changes, time);
    }

    void receive_config(const std::string& ip, const peer_record& record, const time_point time) {
        if (record.config == config_id{}) {
            return;
        }
        const internal::source_read source{
            this->configs.reported.earliest(record.config_read, time - record.config_age, time), record.config_read};
        if (record.config == this->config.id) {
            this->configs.confirm(source);
        } else if (record.config > this->config.id && !this->configs.fetch.under_way(time)) {
            this->configs.fetch.begin(time, this->rule.lost_call);
            this->deps.fetch(ip, "/config", [this, source, ip](std::string&& bytes) {
                this->configs.fetch.end();
                if (auto found = decode_config(bytes)) {
                    this->apply_config(std::move(*found), source, ip);
                }
            });
        }
    }

    /*! @brief Returns whether this instance started after a restore, so that only others know what left before it. */
    [[nodiscard]] bool needs_departures(const peer_record& record) const noexcept {
        return record.excluded_targets > 0U && !this->usable.knows_departures() &&
               !this->follows_restore(record.targets_position);
    }

    /*! @brief Asks an instance what has left; a list is taken from others only afterwards. */
    void fetch_departures(const std::string& ip) {
        if (this->departures_fetch.under_way(this->now())) {
            return;
        }
        this->departures_fetch.begin(this->now(), this->rule.lost_call);
        this->deps.fetch(ip, "/departed", [this, ip](std::string&& bytes) {
            this->departures_fetch.end();
            const auto report = decode_departed(bytes);
            if (!report || this->usable.knows_departures()) {
                return;
            }
            this->usable.exclude(*report, this->now());
            this->deps.log.change("departures_adopted", {{"count", std::to_string(report->targets.size())},
                                                         {"remaining_ms", internal::age_text(report->remaining)},
                                                         {"from", ip}});
            if (this->targets.as_of) {
                this->publish();
            }
        });
    }

    void receive_targets(const std::string& ip, const peer_record& record, const std::string_view target_changes,
                         const time_point time) {
        if (record.targets_position.revision == 0U) {
            return;
        }
        const internal::source_read source{
            this->targets.reported.earliest(record.targets_read, time - record.targets_age, time), record.targets_read};
        const auto as_of = source.as_of;
        if (this->targets.as_of && as_of <= *this->targets.as_of) {
            if (source.number == this->targets.read_number) {
                this->targets.confirm(source);
            }
            return;
        }
        const bool known = this->targets.as_of && record.targets_digest == this->digest;
        if (known && !this->follows_outage(as_of, record.targets_position)) {
            this->targets.confirm(source);
            this->listed.position = std::max(this->listed.position, record.targets_position);
            if (this->usable.end_exclusion(as_of)) {
                this->log_targets(ip, as_of, false);
                this->publish();
            }
            return;
        }
        if (record.targets_position < this->listed.position) {
            return;
        }
        if (this->apply_inline_changes(target_changes, source, ip) || this->targets.fetch.under_way(time)) {
            return;
        }
        this->targets.fetch.begin(time, this->rule.lost_call);
        const bool from_changes = this->targets.as_of && !std::exchange(this->fetch_whole_list, false);
        const auto path = from_changes ? "/targets?since=" + std::to_string(this->digest) : std::string{"/targets"};
        this->deps.fetch(ip, path, [this, source, ip](std::string&& bytes) {
            this->targets.fetch.end();
            this->apply_response(bytes, source, ip);
        });
    }

    /*! @brief Applies changes sent with a heartbeat; returns false if there are none or they do not apply. */
    [[nodiscard]] bool apply_inline_changes(const std::string_view bytes, const internal::source_read& source,
                                            const std::string& ip) {
        const auto changes = bytes.empty() ? std::nullopt : decode_changes(bytes);
        auto list = changes ? apply_changes(this->listed, *changes) : std::nullopt;
        if (list) {
            this->apply_targets(std::move(*list), source, ip);
        }
        return list.has_value();
    }

    /*! @brief Applies a fetched target list, or changes to the current one. */
    void apply_response(const std::string& bytes, const internal::source_read& source, const std::string& ip) {
        if (const auto changes = decode_changes(bytes)) {
            auto list = apply_changes(this->listed, *changes);
            // Fetch the full list next time if these changes did not apply.
            this->fetch_whole_list = !list;
            if (list) {
                this->apply_targets(std::move(*list), source, ip);
            }
        } else if (auto list = decode_targets(bytes)) {
            this->apply_targets(std::move(*list), source, ip);
        }
    }
};

platform_follower::platform_follower(dependencies deps, const follower_rule& bounds)
    : self{std::make_unique<implementation>(implementation{std::move(deps), bounds})} {}

platform_follower::~platform_follower() {
    this->self->deps.loop.cancel(this->self->timer);
}

void platform_follower::start() {
    auto& state = *this->self;
    state.started = state.now();
    state.timer = state.deps.loop.every(internal::follow_period, [&state] { state.follow(); });
}

void platform_follower::receive(const std::string& ip, const peer_record& record,
                                const std::string_view target_changes) {
    this->self->receive(ip, record, target_changes);
}

void platform_follower::describe(peer_record& record) const {
    const auto& state = *this->self;
    record.config = state.config.id;
    record.config_read = state.configs.read_number;
    record.config_age = this->config_age();
    record.targets_position = state.targets.as_of ? state.listed.position : store_position{};
    record.targets_digest = state.digest;
    record.excluded_targets = static_cast<std::uint32_t>(state.usable.excluded_count());
    record.targets_read = state.targets.read_number;
    record.targets_age = this->targets_age();
}

bool platform_follower::initialized() const noexcept {
    return this->self->initialized();
}

const target_list& platform_follower::listed() const noexcept {
    return this->self->listed;
}

std::optional<target_changes> platform_follower::changes_since(const std::uint64_t previous_digest) const {
    return this->self->history.changes_since(previous_digest, this->self->listed);
}

departure_report platform_follower::departed() const {
    return this->self->usable.departures(this->self->now());
}

const routing_config& platform_follower::config() const noexcept {
    return this->self->config;
}

duration platform_follower::targets_age() const noexcept {
    return this->self->targets.age(this->self->now());
}

duration platform_follower::config_age() const noexcept {
    return this->self->configs.age(this->self->now());
}

} // namespace mangopulley
