#include "platform_follower.hpp"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "../core/fnv_hash.hpp"
#include "document_codec.hpp"
#include "read_times.hpp"
#include "target_history.hpp"

namespace mangopulley {

namespace internal {

namespace {

constexpr duration follow_period{std::chrono::milliseconds{25}};
constexpr duration never{std::chrono::hours{1}};

[[nodiscard]] std::string age_text(const duration age) {
    return std::to_string(std::chrono::duration_cast<milliseconds>(age).count());
}

/*! @brief Read of a document, by this instance or another one. */
struct source_read {
    time_point as_of{};
    std::uint32_t number{};
};

/*! @brief State of reading one kind of document. */
struct reading {
    std::optional<time_point> as_of{};
    /*! @brief Number of the read to which `as_of` belongs. */
    std::uint32_t read{};
    /*! @brief Reads that others told of. */
    read_times told{};
    bool under_way{};
    bool fetching{};
    bool lost{};
    time_point pause_until{};

    [[nodiscard]] duration age(const time_point now) const noexcept { return this->as_of ? now - *this->as_of : never; }

    /*! @brief Takes over a read unless a newer one is known; a better time of the same one replaces the old time. */
    void confirm(const source_read& made) noexcept {
        if (!this->as_of || made.as_of > *this->as_of || made.number == this->read) {
            this->as_of = made.as_of;
            this->read = made.number;
        }
    }
};

} // namespace

} // namespace internal

struct platform_follower::implementation {
    parts environment;
    follower_rule rule;
    routing_config config{};
    target_list listed{};
    std::uint64_t digest{};
    target_history history{};
    bool fetch_whole_list{};
    internal::reading targets{};
    internal::reading configs{};
    /*! @brief Targets missing since an outage, with the time until which they are still used. */
    std::vector<std::pair<listed_target, time_point>> missing{};
    std::uint64_t reads{};
    time_point started{};
    timer_id timer{};

    [[nodiscard]] time_point now() const noexcept { return this->environment.loop.now(); }

    [[nodiscard]] duration allowed_age() const {
        const auto place = static_cast<std::int64_t>(std::min<std::size_t>(this->environment.place(), 32U));
        return std::min(this->rule.read_age + place * this->rule.age_per_place, this->rule.longest_age);
    }

    void follow() {
        const auto time = this->now();
        this->drop_missing(time);
        // The place in line costs a look at all instances; nothing is due before the first place's age.
        if (std::max(this->targets.age(time), this->configs.age(time)) < this->rule.read_age) {
            return;
        }
        const auto allowed = this->allowed_age();
        const bool waiting = time - this->started < this->environment.first_read_delay();
        if (this->due(this->targets, allowed, time) && (this->targets.as_of || !waiting)) {
            this->read_targets();
        }
        if (this->due(this->configs, allowed, time) && (this->configs.as_of || !waiting)) {
            this->read_config();
        }
    }

    [[nodiscard]] static bool due(const internal::reading& state, const duration allowed, const time_point time) {
        return !state.under_way && time >= state.pause_until && state.age(time) >= allowed;
    }

    /*! @brief Numbers a read so that no other instance is likely to use the number at the same time. */
    [[nodiscard]] internal::source_read begin_read() {
        const auto number = fnv_hash{}.add(this->environment.incarnation).add(++this->reads).value();
        return {this->now(), static_cast<std::uint32_t>(number)};
    }

    void read_targets() {
        const auto begun = this->begin_read();
        this->targets.under_way = true;
        this->environment.platform.read_targets(
            this->rule.call_timeout, [this, begun](platform_result<target_list>&& answer) {
                this->targets.under_way = false;
                if (auto* list = std::get_if<target_list>(&answer)) {
                    this->regained("targets", this->targets);
                    const auto former = this->digest;
                    this->take_targets(std::move(*list), begun, "platform");
                    this->environment.announce(this->changes_to_tell(former));
                } else {
                    this->failed("targets", this->targets, std::get<platform_error>(answer));
                }
            });
    }

    [[nodiscard]] std::string changes_to_tell(const std::uint64_t former) const {
        const auto changes = former == this->digest ? std::nullopt : this->history.changes_since(former, this->listed);
        auto bytes = changes ? encode_changes(*changes) : std::string{};
        return bytes.size() <= this->rule.most_told_bytes ? bytes : std::string{};
    }

    void read_config() {
        const auto begun = this->begin_read();
        this->configs.under_way = true;
        this->environment.platform.read_config(
            this->rule.call_timeout, [this, begun](platform_result<routing_config>&& answer) {
                this->configs.under_way = false;
                if (auto* found = std::get_if<routing_config>(&answer)) {
                    this->regained("config", this->configs);
                    this->take_config(std::move(*found), begun, "platform");
                    this->environment.announce({});
                } else {
                    this->failed("config", this->configs, std::get<platform_error>(answer));
                }
            });
    }

    /*! @brief Returns the time to the next try; with one pause for all, calls would grow with the instances. */
    [[nodiscard]] duration pause() const {
        constexpr std::size_t most_doublings = 8U;
        const auto doublings = std::min(this->environment.place() / this->rule.places_per_doubling, most_doublings);
        return std::min(this->rule.retry_pause * (1U << doublings), this->rule.longest_pause);
    }

    void failed(const std::string& what, internal::reading& state, const platform_error& error) {
        state.pause_until = this->now() + this->pause();
        if (!std::exchange(state.lost, true)) {
            this->environment.log.change("platform_lost", {{"document", what},
                                                           {"cause", std::string{name_of(error.why)}},
                                                           {"detail", error.detail},
                                                           {"age_ms", internal::age_text(state.age(this->now()))}});
        }
    }

    void regained(const std::string& what, internal::reading& state) {
        if (std::exchange(state.lost, false)) {
            this->environment.log.change("platform_regained",
                                         {{"document", what}, {"age_ms", internal::age_text(state.age(this->now()))}});
        }
    }

    void take_config(routing_config&& found, const internal::source_read& made, const std::string& from) {
        if (found.revision >= this->config.revision) {
            this->configs.confirm(made);
        }
        if (found.revision <= this->config.revision) {
            return;
        }
        this->environment.log.change("config_changed", {{"version", std::to_string(found.version)},
                                                        {"revision", std::to_string(found.revision)},
                                                        {"previous", std::to_string(this->config.version)},
                                                        {"routes", std::to_string(found.routes.size())},
                                                        {"from", from},
                                                        {"age_ms", internal::age_text(this->now() - made.as_of)}});
        this->config = std::move(found);
        this->environment.config_changed(this->config);
    }

    void take_targets(target_list&& found, const internal::source_read& made, const std::string& from) {
        const auto as_of = made.as_of;
        if (this->targets.as_of && (as_of < *this->targets.as_of || found.revision < this->listed.revision)) {
            return;
        }
        const auto time = this->now();
        const bool after_outage = this->targets.as_of && as_of - *this->targets.as_of >= this->rule.outage;
        std::sort(found.targets.begin(), found.targets.end(),
                  [](const listed_target& left, const listed_target& right) { return left.id < right.id; });
        const auto next = digest_of(found);
        const bool changed = next != this->digest || !this->targets.as_of;
        if (after_outage) {
            this->keep_missing(found, time + this->rule.return_grace);
        }
        this->targets.as_of = as_of;
        this->targets.read = made.number;
        this->listed = std::move(found);
        this->digest = next;
        if (changed) {
            this->history.record(next, this->listed);
        }
        if (changed || after_outage) {
            this->log_targets(from, as_of, after_outage);
            this->publish();
        }
    }

    void log_targets(const std::string& from, const time_point as_of, const bool after_outage) {
        const auto leaving = std::count_if(this->listed.targets.begin(), this->listed.targets.end(),
                                           [](const listed_target& target) { return target.draining; });
        this->environment.log.change("targets_changed", {{"revision", std::to_string(this->listed.revision)},
                                                         {"count", std::to_string(this->listed.targets.size())},
                                                         {"leaving", std::to_string(leaving)},
                                                         {"kept_missing", std::to_string(this->missing.size())},
                                                         {"after_outage", after_outage ? "yes" : "no"},
                                                         {"from", from},
                                                         {"age_ms", internal::age_text(this->now() - as_of)}});
    }

    /*! @brief Goes on using targets whose entries lapsed while the platform was away, until they had time to return. */
    void keep_missing(const target_list& found, const time_point until) {
        for (const auto& known : this->listed.targets) {
            const bool present = std::any_of(found.targets.begin(), found.targets.end(),
                                             [&known](const listed_target& target) { return target.id == known.id; });
            if (!present && !known.draining) {
                this->missing.emplace_back(known, until);
            }
        }
    }

    void drop_missing(const time_point time) {
        const auto count = std::erase_if(this->missing, [time](const auto& entry) { return entry.second <= time; });
        if (count > 0U) {
            this->environment.log.change("targets_gone", {{"count", std::to_string(count)}});
            this->publish();
        }
    }

    void publish() {
        auto view = this->listed;
        std::erase_if(this->missing, [&view](const auto& entry) {
            return std::any_of(view.targets.begin(), view.targets.end(), [&entry](const listed_target& target) {
                return target.id == entry.first.id || target.endpoint == entry.first.endpoint;
            });
        });
        for (const auto& [target, until] : this->missing) {
            view.targets.push_back(target);
        }
        this->environment.targets_changed(view);
    }

    // What other instances know

    void hear(const std::string& ip, const peer_record& record, const std::string_view target_changes) {
        const auto time = this->now();
        this->hear_config(ip, record, time);
        this->hear_targets(ip, record, target_changes, time);
    }

    void hear_config(const std::string& ip, const peer_record& record, const time_point time) {
        if (record.config_revision == 0U) {
            return;
        }
        const internal::source_read made{
            this->configs.told.earliest(record.config_read, time - record.config_age, time), record.config_read};
        if (record.config_revision == this->config.revision) {
            this->configs.confirm(made);
        } else if (record.config_revision > this->config.revision && !this->configs.fetching) {
            this->configs.fetching = true;
            this->environment.fetch(ip, "/config", [this, made, ip](std::string&& bytes) {
                this->configs.fetching = false;
                if (auto found = decode_config(bytes)) {
                    this->take_config(std::move(*found), made, ip);
                }
            });
        }
    }

    void hear_targets(const std::string& ip, const peer_record& record, const std::string_view target_changes,
                      const time_point time) {
        if (record.targets_revision == 0U) {
            return;
        }
        const internal::source_read made{
            this->targets.told.earliest(record.targets_read, time - record.targets_age, time), record.targets_read};
        const auto as_of = made.as_of;
        if (this->targets.as_of && as_of <= *this->targets.as_of) {
            if (made.number == this->targets.read) {
                this->targets.confirm(made);
            }
            return;
        }
        const bool known = this->targets.as_of && record.targets_digest == this->digest;
        const bool after_outage = this->targets.as_of && as_of - *this->targets.as_of >= this->rule.outage;
        if (known && !after_outage) {
            this->targets.confirm(made);
            this->listed.revision = std::max(this->listed.revision, record.targets_revision);
            return;
        }
        if (this->take_told(target_changes, made, ip) || this->targets.fetching) {
            return;
        }
        this->targets.fetching = true;
        const bool from_changes = this->targets.as_of && !std::exchange(this->fetch_whole_list, false);
        const auto path = from_changes ? "/targets?since=" + std::to_string(this->digest) : std::string{"/targets"};
        this->environment.fetch(ip, path, [this, made, ip](std::string&& bytes) {
            this->targets.fetching = false;
            this->take_answer(bytes, made, ip);
        });
    }

    /*! @brief Takes over changes told with a heartbeat; returns false when there are none or they do not fit. */
    [[nodiscard]] bool take_told(const std::string_view bytes, const internal::source_read& made,
                                 const std::string& ip) {
        const auto changes = bytes.empty() ? std::nullopt : decode_changes(bytes);
        auto list = changes ? apply_changes(this->listed, *changes) : std::nullopt;
        if (list) {
            this->take_targets(std::move(*list), made, ip);
        }
        return list.has_value();
    }

    /*! @brief Takes over a list of targets, or changes of the list held, from another instance. */
    void take_answer(const std::string& bytes, const internal::source_read& made, const std::string& ip) {
        if (const auto changes = decode_changes(bytes)) {
            auto list = apply_changes(this->listed, *changes);
            // The next answer brings the whole list when these changes did not fit.
            this->fetch_whole_list = !list;
            if (list) {
                this->take_targets(std::move(*list), made, ip);
            }
        } else if (auto list = decode_targets(bytes)) {
            this->take_targets(std::move(*list), made, ip);
        }
    }
};

platform_follower::platform_follower(parts environment, const follower_rule& bounds)
    : self{std::make_unique<implementation>(implementation{std::move(environment), bounds})} {}

platform_follower::~platform_follower() {
    this->self->environment.loop.cancel(this->self->timer);
}

void platform_follower::start() {
    auto& state = *this->self;
    state.started = state.now();
    state.timer = state.environment.loop.every(internal::follow_period, [&state] { state.follow(); });
}

void platform_follower::hear(const std::string& ip, const peer_record& record, const std::string_view target_changes) {
    this->self->hear(ip, record, target_changes);
}

void platform_follower::describe(peer_record& record) const {
    const auto& state = *this->self;
    record.config_revision = state.config.revision;
    record.config_read = state.configs.read;
    record.config_age = this->config_age();
    record.targets_revision = state.targets.as_of ? state.listed.revision : 0U;
    record.targets_digest = state.digest;
    record.targets_read = state.targets.read;
    record.targets_age = this->targets_age();
}

bool platform_follower::informed() const noexcept {
    return this->self->targets.as_of.has_value() && this->self->config.revision > 0U;
}

const target_list& platform_follower::listed() const noexcept {
    return this->self->listed;
}

std::optional<target_changes> platform_follower::changes_since(const std::uint64_t former) const {
    return this->self->history.changes_since(former, this->self->listed);
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
