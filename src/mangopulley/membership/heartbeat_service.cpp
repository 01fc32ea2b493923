#include "heartbeat_service.hpp"

#include <algorithm>
#include <mutex>
#include <random>
#include <unordered_map>
#include <utility>

#include "../core/periodic_task.hpp"
#include "../peer/peer_transport.hpp"
#include "drain_notices.hpp"
#include "member_table.hpp"
#include "standing.hpp"

namespace mangopulley {

namespace internal {

// Shorter than the period, so that calls to a frozen peer do not pile up.
constexpr milliseconds heartbeat_timeout{300};
constexpr std::size_t candidates_per_tick = 1U;
// Without a live peer, more candidates are tried at once so that a start takes few ticks.
constexpr std::size_t candidates_alone = 3U;
constexpr std::size_t peers_per_push = 3U;
constexpr std::size_t notices_per_message = 32U;
// Every holder repeats a notice for four ticks; with two peers each, the chance that one of 14 instances misses it is
// negligible, and an instance that did would learn it from the target's next response.
constexpr milliseconds notice_repeat{2000};
constexpr std::uint32_t member_values = 9U;
constexpr std::uint32_t most_members = 4096U;

/*! @brief Endpoints in a random order that is drawn anew each time all had their turn. */
class rotation {
public:
    template <typename Random>
    [[nodiscard]] std::vector<std::string> next(std::vector<std::string> present, std::size_t count, Random& random) {
        std::sort(present.begin(), present.end());
        present.erase(std::unique(present.begin(), present.end()), present.end());
        count = std::min(count, present.size());
        std::vector<std::string> chosen{};
        const auto usable = [&](const std::string& endpoint) {
            return std::binary_search(present.begin(), present.end(), endpoint) &&
                   std::find(chosen.begin(), chosen.end(), endpoint) == chosen.end();
        };
        while (chosen.size() < count) {
            if (this->queue.empty()) {
                this->queue = present;
                std::shuffle(this->queue.begin(), this->queue.end(), random);
            }
            auto endpoint = std::move(this->queue.back());
            this->queue.pop_back();
            if (usable(endpoint)) {
                chosen.push_back(std::move(endpoint));
            }
        }
        return chosen;
    }

private:
    std::vector<std::string> queue{};
};

struct peer_times {
    time_point called{};
    time_point exchanged{};
};

struct known_demands {
    time_point at{};
    std::vector<service_demand> demands{};
};

} // namespace internal

struct heartbeat_service::implementation {
    parts use;
    std::function<std::vector<service_demand>()> own_demands;
    mutable std::mutex guard{};
    std::mt19937_64 random;
    /*! @brief Times of the last calls to peers and of the last exchanges with them in either direction. */
    std::unordered_map<std::string, internal::peer_times> peers{};
    internal::rotation candidates{};
    std::unordered_map<incarnation_id, internal::known_demands> demands{};
    std::optional<time_point> last_member_pull{};
    std::unique_ptr<periodic_task> ticking{};
    std::unique_ptr<periodic_task> watching{};

    implementation(const parts& environment, std::function<std::vector<service_demand>()> source,
                   const std::uint64_t seed)
        : use{environment}, own_demands{std::move(source)}, random{seed} {}

    [[nodiscard]] std::string compose() {
        heartbeat message{};
        this->use.members.set_serving(this->use.proof.serving());
        message.sender = this->use.members.self();
        // The confirmation is read before the version: a version that rises in between then only looks too new, which
        // confirms fewer peers. The other way round, a peer could take the old version for confirmed.
        message.confirmation_age = this->use.proof.age_of_confirmation();
        message.store_age = this->use.proof.age_of_store_contact();
        message.version = this->use.holder.current()->version;
        message.revision = this->use.members.instances()->revision;
        message.demands = this->own_demands();
        message.ages = this->use.members.ages_to_report(ages_per_heartbeat);
        return encode(message);
    }

    void exchange(const std::string& endpoint) {
        const auto body = this->compose();
        const auto sent = this->use.time.now();
        boost::leaf::try_handle_all(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(reply, this->use.transport.call(endpoint, message_type::heartbeat, body,
                                                                internal::heartbeat_timeout));
                if (const auto answer = decode_heartbeat(reply)) {
                    this->take(*answer, sent, evidence::reply);
                    // After the pull, so that a version just pulled counts as the own one.
                    this->use.proof.peer_answered({answer->sender.incarnation, sent, answer->version,
                                                   answer->confirmation_age, answer->store_age});
                }
                return {};
            },
            // An unreachable peer shows in its age; there is nothing else to do about it.
            [] {});
    }

    void take(const heartbeat& message, const time_point at, const evidence how) {
        this->use.members.heard(message.sender, at, how);
        const auto unknown = this->use.members.merge_ages(message.ages, at, how);
        {
            const std::lock_guard lock{this->guard};
            this->peers[message.sender.peer_endpoint].exchanged = this->use.time.now();
            auto& known = this->demands[message.sender.incarnation];
            if (at >= known.at) {
                known = {at, message.demands};
            }
        }
        const auto& endpoint = message.sender.peer_endpoint;
        const bool behind = message.version > this->use.holder.current()->version ||
                            message.revision > this->use.members.instances()->revision;
        const bool pull_members = !unknown.empty() && this->may_pull_members();
        if (how == evidence::reply) {
            this->pull(endpoint, message.version, message.revision, pull_members, unknown);
        } else if (behind || pull_members) {
            // The handler replies first, since the sender waits for it.
            this->use.runner.run([this, endpoint, version = message.version, revision = message.revision, pull_members,
                                  unknown] { this->pull(endpoint, version, revision, pull_members, unknown); });
        }
    }

    void pull(const std::string& endpoint, const std::uint64_t version, const std::uint64_t revision,
              const bool pull_members, const std::vector<std::uint32_t>& unknown) {
        this->use.follower.peer_holds(endpoint, version, revision);
        if (pull_members) {
            this->pull_members(endpoint, unknown);
        }
    }

    /*! @brief At most one member pull per period: a peer may go on to report a member that the table does not admit. */
    [[nodiscard]] bool may_pull_members() {
        const auto now = this->use.time.now();
        const std::lock_guard lock{this->guard};
        if (this->last_member_pull && now - *this->last_member_pull < heartbeat_period / 2) {
            return false;
        }
        this->last_member_pull = now;
        return true;
    }

    void pull_members(const std::string& endpoint, const std::vector<std::uint32_t>& prefixes) {
        message_writer request{};
        request.array(static_cast<std::uint32_t>(prefixes.size()));
        for (const auto prefix : prefixes) {
            request.number(prefix);
        }
        const auto sent = this->use.time.now();
        boost::leaf::try_handle_all(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(reply, this->use.transport.call(endpoint, message_type::member_pull, request.take(),
                                                                internal::heartbeat_timeout));
                message_reader reader{reply};
                const auto count = reader.array(internal::most_members * internal::member_values);
                for (std::uint32_t index = 0U; index < count / internal::member_values; ++index) {
                    const auto about = internal::read_member(reader);
                    if (!reader.valid()) {
                        break;
                    }
                    this->use.members.merge(about, sent, evidence::message);
                }
                return {};
            },
            [] {});
    }

    [[nodiscard]] std::vector<std::string> live_endpoints(const duration least_age = duration::zero()) const {
        const auto own = this->use.members.self().incarnation;
        std::vector<std::string> endpoints{};
        for (const auto& about : this->use.members.live()) {
            if (about.incarnation != own && about.age >= least_age) {
                endpoints.push_back(about.peer_endpoint);
            }
        }
        return endpoints;
    }

    /*! @brief Takes the endpoint with the earliest of one of its times out of the live ones; needs the lock. */
    void choose_earliest(std::vector<std::string>& from, time_point internal::peer_times::*const times,
                         std::vector<std::string>& chosen) {
        const auto first = std::min_element(from.begin(), from.end(), [&](const auto& left, const auto& right) {
            return this->peers[left].*times < this->peers[right].*times;
        });
        if (first != from.end() && std::find(chosen.begin(), chosen.end(), *first) == chosen.end()) {
            chosen.push_back(*first);
            // A call counts as an exchange, so that a peer that does not answer is not called in every tick.
            const auto now = this->use.time.now();
            this->peers[*first] = {now, now};
        }
    }

    /**
     * @brief Chooses two peers; needs the lock.
     *
     * The first is an overdue member, so that a live one is not declared dead for want of news, or the one called
     * longest ago, so that every peer gives a reply in turn. The second is the one with the oldest exchange in either
     * direction, which bounds the age of what only direct heartbeats carry.
     */
    [[nodiscard]] std::vector<std::string> next_peers(std::vector<std::string> live, std::vector<std::string> suspect) {
        const auto now = this->use.time.now();
        std::erase_if(this->peers, [now](const auto& item) {
            return now - std::max(item.second.called, item.second.exchanged) >= forgotten_age;
        });
        std::shuffle(live.begin(), live.end(), this->random);
        std::vector<std::string> chosen{};
        this->choose_earliest(suspect.empty() ? live : suspect, &internal::peer_times::called, chosen);
        this->choose_earliest(live, &internal::peer_times::exchanged, chosen);
        return chosen;
    }

    [[nodiscard]] std::vector<std::string> some_live(const std::size_t count) {
        auto endpoints = this->live_endpoints();
        const std::lock_guard lock{this->guard};
        std::shuffle(endpoints.begin(), endpoints.end(), this->random);
        endpoints.resize(std::min(endpoints.size(), count));
        return endpoints;
    }

    void send_heartbeats(const std::vector<std::string>& endpoints) {
        for (const auto& endpoint : endpoints) {
            this->use.runner.run([this, endpoint] { this->exchange(endpoint); });
        }
    }

    void send_notices(const std::vector<std::string>& endpoints, std::vector<drain_report> reports) {
        if (reports.empty()) {
            return;
        }
        std::sort(reports.begin(), reports.end(),
                  [](const drain_report& left, const drain_report& right) { return left.age < right.age; });
        reports.resize(std::min(reports.size(), internal::notices_per_message));
        message_writer writer{};
        writer.array(static_cast<std::uint32_t>(2U * reports.size()));
        for (const auto& report : reports) {
            writer.text(report.target);
            internal::write_age(writer, report.age);
        }
        const auto body = writer.take();
        for (const auto& endpoint : endpoints) {
            this->use.runner.run([this, endpoint, body] {
                boost::leaf::try_handle_all(
                    [&]() -> result<void> {
                        BOOST_LEAF_AUTO(reply, this->use.transport.call(endpoint, message_type::drain_notice, body,
                                                                        internal::heartbeat_timeout));
                        static_cast<void>(reply);
                        return {};
                    },
                    [] {});
            });
        }
    }
};

heartbeat_service::heartbeat_service(const parts& environment, std::function<std::vector<service_demand>()> demands,
                                     const std::uint64_t seed)
    : self{std::make_unique<implementation>(environment, std::move(demands), seed)} {}

heartbeat_service::~heartbeat_service() {
    this->stop();
}

std::string_view heartbeat_service::name() const noexcept {
    return "heartbeat_service";
}

void heartbeat_service::start() {
    // Two threads: the standing must be kept up to date even while a tick is late.
    this->self->watching =
        std::make_unique<periodic_task>("standing", standing_period, [this] { this->self->use.proof.tick(); });
    this->self->ticking = std::make_unique<periodic_task>("heartbeat", heartbeat_period, [this] { this->tick(); });
    this->self->watching->start();
    this->self->ticking->start();
}

void heartbeat_service::stop() noexcept {
    this->self->ticking.reset();
    this->self->watching.reset();
}

void heartbeat_service::tick() {
    auto live = this->self->live_endpoints();
    auto suspect = this->self->live_endpoints(suspect_age);
    const auto candidates = this->self->use.members.candidates();
    std::vector<std::string> chosen{};
    std::vector<std::string> others{};
    {
        const std::lock_guard lock{this->self->guard};
        const auto extra = live.empty() ? internal::candidates_alone : internal::candidates_per_tick;
        chosen = this->self->next_peers(std::move(live), std::move(suspect));
        others = this->self->candidates.next(candidates, extra, this->self->random);
    }
    this->self->send_heartbeats(chosen);
    this->self->send_heartbeats(others);
    this->self->send_notices(chosen, this->self->use.draining.recent(internal::notice_repeat));
}

void heartbeat_service::push() {
    this->self->send_heartbeats(this->self->some_live(internal::peers_per_push));
}

void heartbeat_service::announce_leaving() {
    this->self->use.members.set_leaving();
    this->push();
}

void heartbeat_service::announce_drain(const std::string_view target) {
    if (this->self->use.draining.report(target)) {
        this->self->send_notices(this->self->some_live(internal::peers_per_push),
                                 {drain_report{std::string{target}, duration::zero()}});
    }
}

std::optional<std::string> heartbeat_service::on_heartbeat(const std::string_view body) {
    const auto message = decode_heartbeat(body);
    if (!message) {
        return std::nullopt;
    }
    this->self->take(*message, this->self->use.time.now(), evidence::message);
    return this->self->compose();
}

std::optional<std::string> heartbeat_service::on_member_pull(const std::string_view body) const {
    message_reader reader{body};
    std::vector<std::uint32_t> prefixes(reader.array(internal::most_members));
    for (auto& prefix : prefixes) {
        prefix = static_cast<std::uint32_t>(reader.number());
    }
    if (!reader.valid()) {
        return std::nullopt;
    }
    auto members = this->self->use.members.described(prefixes);
    members.resize(std::min<std::size_t>(members.size(), internal::most_members));
    message_writer writer{};
    writer.array(static_cast<std::uint32_t>(members.size()) * internal::member_values);
    for (const auto& about : members) {
        internal::write_member(writer, about);
    }
    return writer.take();
}

std::optional<std::string> heartbeat_service::on_catalogue_pull(const std::string_view body) const {
    return this->self->use.follower.answer_catalogue_pull(body);
}

std::optional<std::string> heartbeat_service::on_instances_pull(const std::string_view body) const {
    return this->self->use.follower.answer_instances_pull(body);
}

std::optional<std::string> heartbeat_service::on_drain_notice(const std::string_view body) {
    message_reader reader{body};
    const auto values = reader.array(2U * internal::notices_per_message);
    std::vector<drain_report> reports{};
    for (std::uint32_t index = 0U; index < values / 2U; ++index) {
        auto target = reader.text();
        reports.push_back({std::move(target), internal::read_age(reader)});
    }
    if (!reader.valid()) {
        return std::nullopt;
    }
    std::erase_if(reports, [this](const drain_report& report) {
        return !this->self->use.draining.report(report.target, report.age);
    });
    if (!reports.empty()) {
        this->self->send_notices(this->self->some_live(internal::peers_per_push), std::move(reports));
    }
    message_writer writer{};
    writer.array(0U);
    return writer.take();
}

std::vector<instance_demands> heartbeat_service::demands() const {
    const auto live = this->self->use.members.live();
    const auto own = this->self->use.members.self().incarnation;
    const auto now = this->self->use.time.now();
    const std::lock_guard lock{this->self->guard};
    std::vector<instance_demands> found{};
    for (const auto& about : live) {
        const auto position = this->self->demands.find(about.incarnation);
        if (about.incarnation != own && position != this->self->demands.end()) {
            found.push_back({about.incarnation, now - position->second.at, position->second.demands});
        }
    }
    std::erase_if(this->self->demands, [now](const auto& item) { return now - item.second.at >= forgotten_age; });
    return found;
}

} // namespace mangopulley
