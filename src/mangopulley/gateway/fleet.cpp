#include "fleet.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "../core/rendezvous.hpp"

namespace mangopulley {

namespace internal {

namespace {

constexpr duration fleet_tick{std::chrono::milliseconds{100}};
// Heartbeats between two that carry the identity, for receivers that missed the introduction.
constexpr unsigned heartbeats_per_introduction = 8U;
constexpr duration seed_period{std::chrono::milliseconds{300}};
constexpr duration seed_silence{std::chrono::seconds{4}};
constexpr duration members_period{std::chrono::seconds{2}};

// Requests in a second that an instance bears for each thousandth of a core: half of a core's time at 1 ms a request.
constexpr double requests_per_millicore = 0.5;

struct member {
    peer_record record{};
    time_point heard{};
    /*! @brief When this instance began to expect heartbeats as from a leader. */
    time_point expected_since{};
    /*! @brief Whether it was silent when heartbeats were expected; until it is heard again. */
    bool suspected{};
    /*! @brief Whether it has introduced itself. */
    bool introduced{};
};

/*! @brief Returns the requests in a second that an instance can take; one short of processor time gets a quarter. */
[[nodiscard]] double bearable(const peer_record& record) noexcept {
    constexpr double strained_part = 0.25;
    return record.identity.millicores * requests_per_millicore * (record.strained ? strained_part : 1.0);
}

/*! @brief Orders the instances of a zone: the strongest lead, and equal ones by a hash that favours no rack. */
[[nodiscard]] bool leads_before(const peer_record& left, const peer_record& right) {
    const auto left_strength = bearable(left);
    const auto right_strength = bearable(right);
    if (left_strength != right_strength) {
        return left_strength > right_strength;
    }
    const auto left_rank = rendezvous_rank("leader", left.identity.name);
    const auto right_rank = rendezvous_rank("leader", right.identity.name);
    return left_rank != right_rank ? left_rank > right_rank : left.identity.name < right.identity.name;
}

[[nodiscard]] std::size_t count_named(const std::span<const peer_record> zone) {
    std::size_t count = 0U;
    for (const auto& group : name_instances(zone)) {
        count += group.instances.size();
    }
    return count;
}

} // namespace

} // namespace internal

struct fleet::implementation {
    event_loop& loop;
    fleet_rule rule;
    outlets ways;
    std::function<peer_record()> source;
    listener action;
    std::vector<std::string> seeds{};
    std::map<std::string, internal::member, std::less<>> members{};
    std::set<std::string, std::less<>> leading{};
    time_point next_heartbeat{};
    time_point next_introduction{};
    time_point next_seed_call{};
    time_point next_members_fetch{};
    unsigned heartbeats{};
    timer_id timer{};

    [[nodiscard]] bool usable(const internal::member& item) const {
        return item.introduced && item.record.ready && !item.suspected &&
               this->loop.now() - item.heard <= this->rule.known_for;
    }

    [[nodiscard]] std::vector<peer_record> leaders() const {
        std::map<std::string, std::vector<peer_record>> by_zone{};
        const auto own = this->source();
        if (own.ready) {
            by_zone[own.identity.zone].push_back(own);
        }
        for (const auto& [ip, item] : this->members) {
            if (this->usable(item)) {
                by_zone[item.record.identity.zone].push_back(item.record);
            }
        }
        std::vector<peer_record> chosen{};
        for (auto& [zone, records] : by_zone) {
            std::sort(records.begin(), records.end(), internal::leads_before);
            // One more than are named, so that the next one is known to live.
            const auto wanted = std::max(internal::count_named(records) + 1U, this->rule.leaders_per_zone);
            const auto count = std::min(records.size(), wanted);
            chosen.insert(chosen.end(), records.begin(), records.begin() + static_cast<std::ptrdiff_t>(count));
        }
        return chosen;
    }

    [[nodiscard]] std::uint64_t members_digest() const {
        std::uint64_t digest = 0U;
        const auto add = [&digest](const std::string& ip, const std::uint64_t incarnation) {
            digest ^= rendezvous_rank(ip, std::to_string(incarnation));
        };
        for (const auto& [ip, item] : this->members) {
            if (this->usable(item)) {
                add(ip, item.record.incarnation);
            }
        }
        const auto own = this->source();
        if (own.ready) {
            add(own.identity.ip, own.incarnation);
        }
        return digest;
    }

    [[nodiscard]] std::string message(const bool introduces, const bool asks, std::string target_changes = {}) const {
        heartbeat_message content{};
        content.record = this->source();
        content.introduces = introduces;
        content.asks = asks;
        content.members_digest = introduces ? this->members_digest() : 0U;
        content.target_changes = std::move(target_changes);
        return encode_peer_message(content);
    }

    void send_to_all(const std::string& bytes) {
        for (const auto& [ip, item] : this->members) {
            this->ways.send(ip, bytes);
        }
    }

    void tick() {
        const auto now = this->loop.now();
        std::erase_if(this->members,
                      [this, now](const auto& entry) { return now - entry.second.heard > this->rule.known_for; });
        this->suspect_silent(now);
        const auto own = this->source();
        const bool leads = this->leading.contains(own.identity.ip);
        if (leads && now >= this->next_heartbeat) {
            this->heartbeat(now);
        }
        if (!leads && now >= this->next_introduction) {
            this->next_introduction = now + this->rule.introduction_period;
            const auto bytes = this->message(true, false);
            for (const auto& ip : this->leading) {
                this->ways.send(ip, bytes);
            }
        }
        if (now >= this->next_seed_call) {
            this->next_seed_call = now + internal::seed_period;
            this->call_seeds(now, own.identity.ip);
        }
    }

    void heartbeat(const time_point now) {
        this->next_heartbeat = now + this->rule.heartbeat_period;
        const bool introduces = this->heartbeats++ % internal::heartbeats_per_introduction == 0U;
        this->send_to_all(this->message(introduces, false));
    }

    void suspect_silent(const time_point now) {
        std::set<std::string, std::less<>> present{};
        for (const auto& record : this->leaders()) {
            present.insert(record.identity.ip);
        }
        for (auto& [ip, item] : this->members) {
            if (!present.contains(ip)) {
                continue;
            }
            if (!this->leading.contains(ip)) {
                item.expected_since = now;
            }
            if (now - std::max(item.heard, item.expected_since) > this->rule.live_for) {
                item.suspected = true;
            }
        }
        this->leading = std::move(present);
    }

    void call_seeds(const time_point now, const std::string& own_ip) {
        for (const auto& ip : this->seeds) {
            const auto known = this->members.find(ip);
            const bool silent = known == this->members.end() || now - known->second.heard > internal::seed_silence;
            if (ip != own_ip && silent) {
                this->ways.send(ip, this->message(true, true));
            }
        }
    }

    void receive(const std::string& ip, const std::string_view bytes) {
        auto decoded = decode_peer_message(bytes);
        if (!decoded || ip == this->source().identity.ip) {
            return;
        }
        auto& item = this->members[ip];
        const bool unknown = !item.introduced || item.record.incarnation != decoded->record.incarnation;
        if (decoded->introduces) {
            item.introduced = true;
        } else {
            decoded->record.identity = item.record.identity;
            item.introduced = item.introduced && !unknown;
        }
        item.record = std::move(decoded->record);
        item.heard = this->loop.now();
        item.suspected = false;
        if (decoded->asks || unknown) {
            this->ways.send(ip, this->message(true, !item.introduced));
        }
        if (decoded->introduces && decoded->members_digest != 0U && decoded->members_digest != this->members_digest()) {
            this->fetch_members(ip);
        }
        this->action(ip, item.record, decoded->target_changes);
    }

    void fetch_members(const std::string& ip) {
        const auto now = this->loop.now();
        if (now < this->next_members_fetch) {
            return;
        }
        this->next_members_fetch = now + internal::members_period;
        this->ways.fetch_members(ip, [this](std::string&& bytes) {
            if (const auto found = decode_members(bytes)) {
                this->take_members(*found);
            }
        });
    }

    void take_members(const std::vector<known_instance>& found) {
        const auto now = this->loop.now();
        const auto own_ip = this->source().identity.ip;
        for (const auto& other : found) {
            const auto& ip = other.record.identity.ip;
            const auto heard = now - other.silence;
            const auto known = this->members.find(ip);
            if (ip == own_ip || ip.empty() || other.silence > this->rule.known_for) {
                continue;
            }
            if (known == this->members.end() || (!known->second.introduced && heard > known->second.heard)) {
                auto& item = this->members[ip];
                item.record = other.record;
                item.heard = heard;
                item.introduced = true;
                this->ways.send(ip, this->message(true, false));
            }
        }
    }
};

fleet::fleet(event_loop& loop, const fleet_rule& bounds, outlets ways, std::function<peer_record()> source,
             listener action)
    : self{std::make_unique<implementation>(
          implementation{loop, bounds, std::move(ways), std::move(source), std::move(action)})} {}

fleet::~fleet() {
    this->self->loop.cancel(this->self->timer);
}

void fleet::set_seeds(std::vector<std::string> ips) {
    this->self->seeds = std::move(ips);
}

void fleet::start() {
    auto& state = *this->self;
    state.tick();
    state.timer = state.loop.every(internal::fleet_tick, [&state] { state.tick(); });
}

void fleet::announce(std::string target_changes) {
    auto& state = *this->self;
    state.next_heartbeat = state.loop.now() + state.rule.heartbeat_period;
    state.send_to_all(state.message(false, false, std::move(target_changes)));
}

void fleet::introduce() {
    this->self->send_to_all(this->self->message(true, false));
}

void fleet::receive(const std::string_view ip, const std::string_view bytes) {
    this->self->receive(std::string{ip}, bytes);
}

std::vector<peer_record> fleet::leaders() const {
    return this->self->leaders();
}

std::vector<known_instance> fleet::members() const {
    std::vector<known_instance> found{};
    const auto now = this->self->loop.now();
    for (const auto& [ip, item] : this->self->members) {
        if (item.introduced && !item.suspected) {
            found.push_back({item.record, now - item.heard});
        }
    }
    return found;
}

std::size_t fleet::size() const {
    const auto& members = this->self->members;
    return 1U + static_cast<std::size_t>(std::count_if(members.begin(), members.end(), [this](const auto& entry) {
               return this->self->usable(entry.second);
           }));
}

std::size_t fleet::place_in_line() const {
    // The last leader of a zone reads first: the first ones are named to callers.
    const auto all = this->leaders();
    const auto own = this->self->source();
    const auto place = std::find_if(
        all.rbegin(), all.rend(), [&own](const peer_record& record) { return record.identity.ip == own.identity.ip; });
    return static_cast<std::size_t>(place - all.rbegin());
}

std::vector<naming_group> name_instances(const std::span<const peer_record> zone) {
    constexpr std::size_t usual_count = 2U;
    double demand = 0.0;
    for (const auto& record : zone) {
        demand += record.requests_per_second;
    }
    std::vector<naming_group> groups{};
    double strength = 0.0;
    std::size_t count = 0U;
    for (const auto& record : zone) {
        const auto own = internal::bearable(record);
        const bool starts_group = groups.empty() || internal::bearable(groups.back().instances.front()) != own;
        // A much stronger instance serves alone; others are told in pairs, so that a caller has a second address.
        const bool alone_suffices = count == 1U && 2.0 * own < strength;
        const bool needs_second = !starts_group && groups.back().instances.size() < usual_count;
        if (strength >= demand && (count >= usual_count || alone_suffices) && !needs_second) {
            break;
        }
        if (starts_group) {
            groups.emplace_back();
        }
        groups.back().instances.push_back(record);
        groups.back().strength += own;
        strength += own;
        ++count;
    }
    return groups;
}

std::vector<peer_record> choose_instances(const std::span<const peer_record> leaders, const std::string_view region,
                                          const std::string_view zone, const double draw) {
    const auto distance = [&](const peer_record& record) {
        return record.identity.zone == zone ? 0 : record.identity.region == region ? 1 : 2;
    };
    int nearest = 2;
    for (const auto& record : leaders) {
        nearest = std::min(nearest, distance(record));
    }
    std::vector<peer_record> candidates{};
    for (const auto& record : leaders) {
        // All from one zone, so that they share their counts and their targets' bytes stay there.
        const bool same_zone = candidates.empty() || candidates.front().identity.zone == record.identity.zone;
        if (distance(record) == nearest && same_zone) {
            candidates.push_back(record);
        }
    }
    auto groups = name_instances(candidates);
    double left = 0.0;
    for (const auto& group : groups) {
        left += group.strength;
    }
    left *= draw;
    for (auto& group : groups) {
        left -= group.strength;
        if (left < 0.0) {
            return std::move(group.instances);
        }
    }
    return groups.empty() ? std::vector<peer_record>{} : std::move(groups.front().instances);
}

} // namespace mangopulley
