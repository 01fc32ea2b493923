#include "heartbeat_service.hpp"

#include <algorithm>
#include <iterator>
#include <mutex>
#include <optional>
#include <random>
#include <unordered_map>
#include <utility>

#include "../core/periodic_task.hpp"
#include "../peer/peer_transport.hpp"
#include "catalogue_freshness.hpp"
#include "drain_notices.hpp"
#include "member_table.hpp"

namespace mangopulley {

namespace internal {

// Shorter than the heartbeat period, so that calls to a frozen peer do not accumulate.
constexpr milliseconds heartbeat_timeout{300};
// Suspects up to which the one that would be dead next is called first. With more of them, calling each in turn leaves
// no more live members classified as dead (simulated fleets of 84).
constexpr std::size_t max_suspects_by_age = 12U;
// An urgent peer that does not answer leaves the next tick to another one.
constexpr milliseconds urgent_call_interval{1000};
constexpr std::size_t candidates_per_tick = 1U;
// Without a live peer, more candidates are contacted per tick, to shorten the start.
constexpr std::size_t candidates_without_live_peer = 3U;
constexpr std::size_t peers_per_push = 3U;
constexpr std::size_t max_notices_per_message = 32U;
// Every instance that knows of a notice resends it for four ticks to two peers each. The probability that one of 14
// instances misses it is negligible, and that instance would detect the draining by the target's next response.
constexpr milliseconds notice_repeat_window{2000};
constexpr std::uint32_t values_per_member = 9U;
constexpr std::uint32_t max_members = 4096U;

/*! @brief Rotates through endpoints in random order, and shuffles again after each full pass. */
class endpoint_rotation {
public:
    template <typename Random>
    [[nodiscard]] std::vector<std::string> next(std::vector<std::string> available, std::size_t count, Random& random) {
        std::sort(available.begin(), available.end());
        available.erase(std::unique(available.begin(), available.end()), available.end());
        count = std::min(count, available.size());
        std::vector<std::string> chosen{};
        const auto usable = [&](const std::string& endpoint) {
            return std::binary_search(available.begin(), available.end(), endpoint) &&
                   std::find(chosen.begin(), chosen.end(), endpoint) == chosen.end();
        };
        while (chosen.size() < count) {
            if (this->queue.empty()) {
                this->queue = available;
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

struct peer_activity {
    time_point last_call{};
    time_point last_exchange{};
};

struct received_demands {
    time_point at{};
    std::vector<service_demand> demands{};
};

} // namespace internal

struct heartbeat_service::implementation {
    dependencies deps;
    std::function<std::vector<service_demand>()> local_demands;
    mutable std::mutex guard{};
    std::mt19937_64 random;
    /*! @brief Times of the last call to each peer and of the last exchange with it in either direction, by endpoint. */
    std::unordered_map<std::string, internal::peer_activity> peers{};
    internal::endpoint_rotation candidates{};
    std::unordered_map<incarnation_id, internal::received_demands> demands{};
    std::optional<time_point> last_member_pull{};
    std::unique_ptr<periodic_task> heartbeat_task{};
    std::unique_ptr<periodic_task> freshness_task{};

    implementation(const dependencies& injected, std::function<std::vector<service_demand>()> source,
                   const std::uint64_t seed)
        : deps{injected}, local_demands{std::move(source)}, random{seed} {}

    [[nodiscard]] std::string compose_heartbeat() {
        heartbeat message{};
        this->deps.members.set_serving(this->deps.freshness.serving());
        message.sender = this->deps.members.self();
        // The confirmation must be read before the version: if the version rises in between, it only looks too new,
        // which confirms fewer peers. In the reverse order, a peer could consider the old version confirmed.
        message.confirmation_age = this->deps.freshness.age_of_confirmation();
        message.store_age = this->deps.freshness.age_of_store_contact();
        message.version = this->deps.catalogue.current()->version;
        message.revision = this->deps.members.instances()->revision;
        message.demands = this->local_demands();
        message.digests = this->deps.members.digests_to_send(max_digests_per_heartbeat);
        return encode(message);
    }

    void exchange_heartbeat(const std::string& endpoint) {
        const auto body = this->compose_heartbeat();
        const auto sent = this->deps.time.now();
        boost::leaf::try_handle_all(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(reply, this->deps.transport.call(endpoint, message_type::heartbeat, body,
                                                                 internal::heartbeat_timeout));
                if (const auto response = decode_heartbeat(reply)) {
                    this->process_heartbeat(*response, sent, evidence::reply);
                    // After the pull, so that a version just pulled counts as the one in force here.
                    this->deps.freshness.record_peer_reply({response->sender.incarnation, sent, response->version,
                                                            response->confirmation_age, response->store_age});
                }
                return {};
            },
            // An unreachable peer is detected by its age; no other handling is needed.
            [] {});
    }

    void process_heartbeat(const heartbeat& message, const time_point at, const evidence kind) {
        this->deps.members.record_direct(message.sender, at, kind);
        const auto unknown_short_ids = this->deps.members.merge_digests(message.digests, at, kind);
        {
            const std::lock_guard lock{this->guard};
            this->peers[message.sender.peer_endpoint].last_exchange = this->deps.time.now();
            auto& known = this->demands[message.sender.incarnation];
            if (at >= known.at) {
                known = {at, message.demands};
            }
        }
        const auto& endpoint = message.sender.peer_endpoint;
        const bool peer_is_ahead = message.version > this->deps.catalogue.current()->version ||
                                   message.revision > this->deps.members.instances()->revision;
        const bool pull_members = !unknown_short_ids.empty() && this->may_pull_members();
        if (kind == evidence::reply) {
            this->pull(endpoint, message.version, message.revision, pull_members, unknown_short_ids);
        } else if (peer_is_ahead || pull_members) {
            // Deferred, since the sender is waiting for the reply of this handler.
            this->deps.runner.run(
                [this, endpoint, version = message.version, revision = message.revision, pull_members,
                 unknown_short_ids] { this->pull(endpoint, version, revision, pull_members, unknown_short_ids); });
        }
    }

    void pull(const std::string& endpoint, const std::uint64_t version, const std::uint64_t revision,
              const bool pull_members, const std::vector<std::uint32_t>& unknown_short_ids) {
        this->deps.follower.pull_newer_from(endpoint, version, revision);
        if (pull_members) {
            this->pull_members(endpoint, unknown_short_ids);
        }
    }

    /*! @brief Limits member pulls to one per half heartbeat period: a peer may keep reporting a member that the table
     * rejects. */
    [[nodiscard]] bool may_pull_members() {
        const auto now = this->deps.time.now();
        const std::lock_guard lock{this->guard};
        if (this->last_member_pull && now - *this->last_member_pull < heartbeat_period / 2) {
            return false;
        }
        this->last_member_pull = now;
        return true;
    }

    void pull_members(const std::string& endpoint, const std::vector<std::uint32_t>& short_ids) {
        message_writer request{};
        request.array(static_cast<std::uint32_t>(short_ids.size()));
        for (const auto short_id : short_ids) {
            request.number(short_id);
        }
        const auto sent = this->deps.time.now();
        boost::leaf::try_handle_all(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(reply, this->deps.transport.call(endpoint, message_type::member_pull, request.take(),
                                                                 internal::heartbeat_timeout));
                message_reader reader{reply};
                const auto count = reader.array(internal::max_members * internal::values_per_member);
                for (std::uint32_t index = 0U; index < count / internal::values_per_member; ++index) {
                    const auto instance = internal::read_member(reader);
                    if (!reader.valid()) {
                        break;
                    }
                    this->deps.members.merge(instance, sent, evidence::message);
                }
                return {};
            },
            [] {});
    }

    [[nodiscard]] std::vector<std::string> live_endpoints() const {
        const auto own = this->deps.members.self().incarnation;
        std::vector<std::string> endpoints{};
        for (const auto& instance : this->deps.members.live()) {
            if (instance.incarnation != own) {
                endpoints.push_back(instance.peer_endpoint);
            }
        }
        return endpoints;
    }

    /*! @brief Adds the endpoint with the earliest activity of the given kind to `chosen`; requires the lock. */
    void choose_least_recent(std::vector<std::string>& from, time_point internal::peer_activity::*const activity_time,
                             std::vector<std::string>& chosen) {
        const auto first = std::min_element(from.begin(), from.end(), [&](const auto& left, const auto& right) {
            return this->peers[left].*activity_time < this->peers[right].*activity_time;
        });
        if (first != from.end() && std::find(chosen.begin(), chosen.end(), *first) == chosen.end()) {
            chosen.push_back(*first);
            // A call counts as an exchange, so that an unresponsive peer is not called in every tick.
            const auto now = this->deps.time.now();
            this->peers[*first] = {now, now};
        }
    }

    /*! @brief Returns the age and endpoint of each suspect member. */
    [[nodiscard]] std::vector<std::pair<duration, std::string>> suspects() const {
        const auto own = this->deps.members.self().incarnation;
        std::vector<std::pair<duration, std::string>> found{};
        for (const auto& instance : this->deps.members.live()) {
            if (instance.incarnation != own && instance.age >= suspect_age) {
                found.emplace_back(instance.age, instance.peer_endpoint);
            }
        }
        return found;
    }

    /**
     * @brief Returns the member that must be called now, since it would be dead by the next tick; requires the lock.
     *
     * Empty as well if there are more suspects than ticks can serve in time, as in a fleet of 84.
     */
    [[nodiscard]] std::optional<std::string>
    find_urgent(const std::vector<std::pair<duration, std::string>>& suspects) const {
        const auto now = this->deps.time.now();
        if (suspects.size() > internal::max_suspects_by_age) {
            return std::nullopt;
        }
        std::optional<std::pair<duration, std::string>> oldest{};
        for (const auto& item : suspects) {
            const auto position = this->peers.find(item.second);
            const bool called =
                position != this->peers.end() && now - position->second.last_call < internal::urgent_call_interval;
            if (item.first >= dead_age - heartbeat_period && !called && (!oldest || item > *oldest)) {
                oldest = item;
            }
        }
        return oldest ? std::optional{oldest->second} : std::nullopt;
    }

    /**
     * @brief Selects up to two peers; requires the lock.
     *
     * The first is the suspect member that would be dead by the next tick, or else the one called longest ago, so that
     * a live one is not declared dead for lack of messages; if no member is suspect, it is the live member called
     * longest ago, so that every peer replies in turn. The second is the member with the oldest exchange in either
     * direction, which bounds the age of the information that only direct heartbeats carry.
     */
    [[nodiscard]] std::vector<std::string> choose_peers(std::vector<std::string> live,
                                                        const std::vector<std::pair<duration, std::string>>& suspects) {
        const auto now = this->deps.time.now();
        std::erase_if(this->peers, [now](const auto& item) {
            return now - std::max(item.second.last_call, item.second.last_exchange) >= removal_age;
        });
        std::shuffle(live.begin(), live.end(), this->random);
        std::vector<std::string> first{};
        if (auto urgent = this->find_urgent(suspects)) {
            first.push_back(std::move(*urgent));
        } else {
            std::transform(suspects.begin(), suspects.end(), std::back_inserter(first),
                           [](const auto& item) { return item.second; });
        }
        std::vector<std::string> chosen{};
        this->choose_least_recent(first.empty() ? live : first, &internal::peer_activity::last_call, chosen);
        this->choose_least_recent(live, &internal::peer_activity::last_exchange, chosen);
        return chosen;
    }

    [[nodiscard]] std::vector<std::string> random_live_endpoints(const std::size_t count) {
        auto endpoints = this->live_endpoints();
        const std::lock_guard lock{this->guard};
        std::shuffle(endpoints.begin(), endpoints.end(), this->random);
        endpoints.resize(std::min(endpoints.size(), count));
        return endpoints;
    }

    void send_heartbeats(const std::vector<std::string>& endpoints) {
        for (const auto& endpoint : endpoints) {
            this->deps.runner.run([this, endpoint] { this->exchange_heartbeat(endpoint); });
        }
    }

    void send_notices(const std::vector<std::string>& endpoints, std::vector<drain_report> reports) {
        if (reports.empty()) {
            return;
        }
        std::sort(reports.begin(), reports.end(),
                  [](const drain_report& left, const drain_report& right) { return left.age < right.age; });
        reports.resize(std::min(reports.size(), internal::max_notices_per_message));
        message_writer writer{};
        writer.array(static_cast<std::uint32_t>(2U * reports.size()));
        for (const auto& report : reports) {
            writer.text(report.target);
            internal::write_age(writer, report.age);
        }
        const auto body = writer.take();
        for (const auto& endpoint : endpoints) {
            this->deps.runner.run([this, endpoint, body] {
                boost::leaf::try_handle_all(
                    [&]() -> result<void> {
                        BOOST_LEAF_AUTO(reply, this->deps.transport.call(endpoint, message_type::drain_notice, body,
                                                                         internal::heartbeat_timeout));
                        static_cast<void>(reply);
                        return {};
                    },
                    [] {});
            });
        }
    }
};

heartbeat_service::heartbeat_service(const dependencies& injected, std::function<std::vector<service_demand>()> demands,
                                     const std::uint64_t seed)
    : self{std::make_unique<implementation>(injected, std::move(demands), seed)} {}

heartbeat_service::~heartbeat_service() {
    this->stop();
}

std::string_view heartbeat_service::name() const noexcept {
    return "heartbeat_service";
}

void heartbeat_service::start() {
    // A thread of its own, so that delayed heartbeats do not show up as tick gaps of the freshness check.
    this->self->freshness_task = std::make_unique<periodic_task>("standing", freshness_tick_period,
                                                                 [this] { this->self->deps.freshness.tick(); });
    this->self->heartbeat_task =
        std::make_unique<periodic_task>("heartbeat", heartbeat_period, [this] { this->tick(); });
    this->self->freshness_task->start();
    this->self->heartbeat_task->start();
}

void heartbeat_service::stop() noexcept {
    this->self->heartbeat_task.reset();
    this->self->freshness_task.reset();
}

void heartbeat_service::tick() {
    auto live = this->self->live_endpoints();
    const auto suspects = this->self->suspects();
    const auto candidates = this->self->deps.members.candidates();
    std::vector<std::string> chosen{};
    std::vector<std::string> others{};
    {
        const std::lock_guard lock{this->self->guard};
        const auto candidate_count =
            live.empty() ? internal::candidates_without_live_peer : internal::candidates_per_tick;
        chosen = this->self->choose_peers(std::move(live), suspects);
        others = this->self->candidates.next(candidates, candidate_count, this->self->random);
    }
    this->self->send_heartbeats(chosen);
    this->self->send_heartbeats(others);
    this->self->send_notices(chosen, this->self->deps.draining.recent(internal::notice_repeat_window));
}

void heartbeat_service::push() {
    this->self->send_heartbeats(this->self->random_live_endpoints(internal::peers_per_push));
}

void heartbeat_service::announce_leaving() {
    this->self->deps.members.set_leaving();
    this->push();
}

void heartbeat_service::announce_drain(const std::string_view target) {
    if (this->self->deps.draining.report(target)) {
        this->self->send_notices(this->self->random_live_endpoints(internal::peers_per_push),
                                 {drain_report{std::string{target}, duration::zero()}});
    }
}

std::optional<std::string> heartbeat_service::on_heartbeat(const std::string_view body) {
    const auto message = decode_heartbeat(body);
    if (!message) {
        return std::nullopt;
    }
    this->self->process_heartbeat(*message, this->self->deps.time.now(), evidence::message);
    return this->self->compose_heartbeat();
}

std::optional<std::string> heartbeat_service::on_member_pull(const std::string_view body) const {
    message_reader reader{body};
    std::vector<std::uint32_t> short_ids(reader.array(internal::max_members));
    for (auto& short_id : short_ids) {
        short_id = static_cast<std::uint32_t>(reader.number());
    }
    if (!reader.valid()) {
        return std::nullopt;
    }
    auto members = this->self->deps.members.members_matching(short_ids);
    members.resize(std::min<std::size_t>(members.size(), internal::max_members));
    message_writer writer{};
    writer.array(static_cast<std::uint32_t>(members.size()) * internal::values_per_member);
    for (const auto& instance : members) {
        internal::write_member(writer, instance);
    }
    return writer.take();
}

std::optional<std::string> heartbeat_service::on_catalogue_pull(const std::string_view body) const {
    return this->self->deps.follower.handle_catalogue_pull(body);
}

std::optional<std::string> heartbeat_service::on_instances_pull(const std::string_view body) const {
    return this->self->deps.follower.handle_instances_pull(body);
}

std::optional<std::string> heartbeat_service::on_drain_notice(const std::string_view body) {
    message_reader reader{body};
    const auto values = reader.array(2U * internal::max_notices_per_message);
    std::vector<drain_report> reports{};
    for (std::uint32_t index = 0U; index < values / 2U; ++index) {
        auto target = reader.text();
        reports.push_back({std::move(target), internal::read_age(reader)});
    }
    if (!reader.valid()) {
        return std::nullopt;
    }
    std::erase_if(reports, [this](const drain_report& report) {
        return !this->self->deps.draining.report(report.target, report.age);
    });
    if (!reports.empty()) {
        this->self->send_notices(this->self->random_live_endpoints(internal::peers_per_push), std::move(reports));
    }
    message_writer writer{};
    writer.array(0U);
    return writer.take();
}

std::vector<instance_demands> heartbeat_service::demands() const {
    const auto live = this->self->deps.members.live();
    const auto own = this->self->deps.members.self().incarnation;
    const auto now = this->self->deps.time.now();
    const std::lock_guard lock{this->self->guard};
    std::vector<instance_demands> found{};
    for (const auto& instance : live) {
        const auto position = this->self->demands.find(instance.incarnation);
        if (instance.incarnation != own && position != this->self->demands.end()) {
            found.push_back({instance.incarnation, now - position->second.at, position->second.demands});
        }
    }
    std::erase_if(this->self->demands, [now](const auto& item) { return now - item.second.at >= removal_age; });
    return found;
}

} // namespace mangopulley
