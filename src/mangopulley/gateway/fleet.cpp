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
// Every n-th heartbeat carries the identity, for receivers that missed the introduction.
constexpr unsigned heartbeats_per_introduction = 8U;
constexpr duration seed_period{std::chrono::milliseconds{300}};
constexpr duration seed_timeout{std::chrono::seconds{4}};
constexpr duration members_fetch_period{std::chrono::seconds{2}};

// Capacity in requests per second for each thousandth of a core: half of a core's time at 1 ms per request.
constexpr double requests_per_millicore = 0.5;

struct member {
    peer_record record{};
    time_point last_seen{};
    /*! @brief When this instance started to expect heartbeats because the member became a leader. */
    time_point expected_since{};
    /*! @brief Whether expected heartbeats did not arrive; reset by the next message. */
    bool suspected{};
    /*! @brief Whether the identity in `record` was received. */
    bool introduced{};
};

/*! @brief Returns the capacity of an instance in requests per second; a CPU-starved one counts a quarter. */
[[nodiscard]] double capacity_of(const peer_record& record) noexcept {
    constexpr double starved_factor = 0.25;
    return record.identity.millicores * requests_per_millicore * (record.cpu_starved ? starved_factor : 1.0);
}

/*! @brief Orders the instances of a zone by descending capacity, and equal ones by a hash that favours no rack. */
[[nodiscard]] bool ranks_before(const peer_record& left, const peer_record& right) {
    const auto left_capacity = capacity_of(left);
    const auto right_capacity = capacity_of(right);
    if (left_capacity != right_capacity) {
        return left_capacity > right_capacity;
    }
    const auto left_rank = rendezvous_rank("leader", left.identity.name);
    const auto right_rank = rendezvous_rank("leader", right.identity.name);
    return left_rank != right_rank ? left_rank > right_rank : left.identity.name < right.identity.name;
}

[[nodiscard]] std::size_t count_advertised(const std::span<const peer_record> zone) {
    std::size_t count = 0U;
    for (const auto& group : select_advertised(zone)) {
        count += group.instances.size();
    }
    return count;
}

} // namespace

} // namespace internal

struct fleet::implementation {
    event_loop& loop;
    fleet_rule rule;
    callbacks transport;
    std::function<peer_record()> source;
    listener on_message;
    std::vector<std::string> seeds{};
    std::map<std::string, internal::member, std::less<>> members{};
    std::set<std::string, std::less<>> current_leaders{};
    time_point next_heartbeat{};
    time_point next_introduction{};
    time_point next_seed_contact{};
    time_point next_members_fetch{};
    unsigned heartbeats{};
    timer_id timer{};

    [[nodiscard]] bool usable(const internal::member& item) const {
        return item.introduced && item.record.ready && !item.suspected &&
               this->loop.now() - item.last_seen <= this->rule.member_timeout;
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
            std::sort(records.begin(), records.end(), internal::ranks_before);
            // One more than is advertised, so that the next candidate is known to be alive.
            const auto wanted = std::max(internal::count_advertised(records) + 1U, this->rule.leaders_per_zone);
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

    [[nodiscard]] std::string message(const bool introduces, const bool requests_introduction,
                                      std::string target_changes = {}) const {
        heartbeat_message content{};
        content.record = this->source();
        content.introduces = introduces;
        content.requests_introduction = requests_introduction;
        content.members_digest = introduces ? this->members_digest() : 0U;
        content.target_changes = std::move(target_changes);
        return encode_peer_message(content);
    }

    void send_to_all(const std::string& bytes) {
        for (const auto& [ip, item] : this->members) {
            this->transport.send(ip, bytes);
        }
    }

    void tick() {
        const auto now = this->loop.now();
        std::erase_if(this->members, [this, now](const auto& entry) {
            return now - entry.second.last_seen > this->rule.member_timeout;
        });
        this->suspect_silent(now);
        const auto own = this->source();
        const bool leads = this->current_leaders.contains(own.identity.ip);
        if (leads && now >= this->next_heartbeat) {
            this->heartbeat(now);
        }
        if (!leads && now >= this->next_introduction) {
            this->next_introduction = now + this->rule.introduction_period;
            const auto bytes = this->message(true, false);
            for (const auto& ip : this->current_leaders) {
                this->transport.send(ip, bytes);
            }
        }
        if (now >= this->next_seed_contact) {
            this->next_seed_contact = now + internal::seed_period;
            this->contact_seeds(now, own.identity.ip);
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
            if (!this->current_leaders.contains(ip)) {
                item.expected_since = now;
            }
            if (now - std::max(item.last_seen, item.expected_since) > this->rule.leader_timeout) {
                item.suspected = true;
            }
        }
        this->current_leaders = std::move(present);
    }

    void contact_seeds(const time_point now, const std::string& own_ip) {
        for (const auto& ip : this->seeds) {
            const auto known = this->members.find(ip);
            const bool silent = known == this->members.end() || now - known->second.last_seen > internal::seed_timeout;
            if (ip != own_ip && silent) {
                this->transport.send(ip, this->message(true, true));
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
        item.last_seen = this->loop.now();
        item.suspected = false;
        if (decoded->requests_introduction || unknown) {
            this->transport.send(ip, this->message(true, !item.introduced));
        }
        if (decoded->introduces && decoded->members_digest != 0U && decoded->members_digest != this->members_digest()) {
            this->fetch_members(ip);
        }
        this->on_message(ip, item.record, decoded->target_changes);
    }

    void fetch_members(const std::string& ip) {
        const auto now = this->loop.now();
        if (now < this->next_members_fetch) {
            return;
        }
        this->next_members_fetch = now + internal::members_fetch_period;
        this->transport.fetch_members(ip, [this](std::string&& bytes) {
            if (const auto found = decode_members(bytes)) {
                this->merge_members(*found);
            }
        });
    }

    void merge_members(const std::vector<known_instance>& found) {
        const auto now = this->loop.now();
        const auto own_ip = this->source().identity.ip;
        for (const auto& other : found) {
            const auto& ip = other.record.identity.ip;
            const auto last_seen = now - other.silence;
            const auto known = this->members.find(ip);
            if (ip == own_ip || ip.empty() || other.silence > this->rule.member_timeout) {
                continue;
            }
            if (known == this->members.end() || (!known->second.introduced && last_seen > known->second.last_seen)) {
                auto& item = this->members[ip];
                item.record = other.record;
                item.last_seen = last_seen;
                item.introduced = true;
                this->transport.send(ip, this->message(true, false));
            }
        }
    }
};

fleet::fleet(event_loop& loop, const fleet_rule& bounds, callbacks transport, std::function<peer_record()> source,
             listener on_message)
    : self{std::make_unique<implementation>(
          implementation{loop, bounds, std::move(transport), std::move(source), std::move(on_message)})} {}

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
            found.push_back({item.record, now - item.last_seen});
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

std::size_t fleet::reader_rank() const {
    // The last leader has rank 0, because the first leaders of a zone serve the callers.
    const auto all = this->leaders();
    const auto own = this->self->source();
    const auto position = std::find_if(
        all.rbegin(), all.rend(), [&own](const peer_record& record) { return record.identity.ip == own.identity.ip; });
    return static_cast<std::size_t>(position - all.rbegin());
}

std::vector<advertised_group> select_advertised(const std::span<const peer_record> zone) {
    constexpr std::size_t default_count = 2U;
    double demand = 0.0;
    for (const auto& record : zone) {
        demand += record.requests_per_second;
    }
    std::vector<advertised_group> groups{};
    double capacity = 0.0;
    std::size_t count = 0U;
    for (const auto& record : zone) {
        const auto own = internal::capacity_of(record);
        const bool starts_group = groups.empty() || internal::capacity_of(groups.back().instances.front()) != own;
        // An instance with much more capacity is advertised alone; others in pairs, so that callers have a second
        // address.
        const bool alone_suffices = count == 1U && 2.0 * own < capacity;
        const bool needs_second = !starts_group && groups.back().instances.size() < default_count;
        if (capacity >= demand && (count >= default_count || alone_suffices) && !needs_second) {
            break;
        }
        if (starts_group) {
            groups.emplace_back();
        }
        groups.back().instances.push_back(record);
        groups.back().capacity += own;
        capacity += own;
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
        // All from one zone, so that the instances share their load counts and traffic to targets stays in the zone.
        const bool same_zone = candidates.empty() || candidates.front().identity.zone == record.identity.zone;
        if (distance(record) == nearest && same_zone) {
            candidates.push_back(record);
        }
    }
    auto groups = select_advertised(candidates);
    double remaining = 0.0;
    for (const auto& group : groups) {
        remaining += group.capacity;
    }
    remaining *= draw;
    for (auto& group : groups) {
        remaining -= group.capacity;
        if (remaining < 0.0) {
            return std::move(group.instances);
        }
    }
    return groups.empty() ? std::vector<peer_record>{} : std::move(groups.front().instances);
}

} // namespace mangopulley
