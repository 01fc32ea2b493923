#include "fleet.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include "rendezvous.hpp"

namespace mangopulley {

struct fleet::implementation {
    event_loop& loop;
    fleet_rule rule;
    sender outlet;
    listener action;
    std::function<peer_record()> source{};
    std::vector<std::string> seeds{};
    /*! @brief By IP address; an instance that starts again replaces its predecessor. */
    std::map<std::string, peer, std::less<>> peers{};
    timer_id timer{};

    void send_to(const std::string& ip) {
        auto record = this->source();
        if (ip == record.ip) {
            return;
        }
        this->fill(record);
        this->outlet(ip, encode_peer_record(record));
    }

    void fill(peer_record& record) const {
        const auto now = this->loop.now();
        for (const auto& [ip, item] : this->peers) {
            if (now - item.heard <= this->rule.live_for) {
                record.known_ips.push_back(ip);
            }
        }
    }

    void announce() {
        const auto now = this->loop.now();
        std::erase_if(this->peers,
                      [this, now](const auto& entry) { return now - entry.second.heard > this->rule.known_for; });
        auto record = this->source();
        this->fill(record);
        const auto bytes = encode_peer_record(record);
        for (const auto& [ip, item] : this->peers) {
            this->outlet(ip, bytes);
        }
        for (const auto& ip : this->seeds) {
            if (ip != record.ip && !this->peers.contains(ip)) {
                this->outlet(ip, bytes);
            }
        }
    }

    void receive(const std::string_view bytes) {
        const auto record = decode_peer_record(bytes);
        const auto own = this->source();
        if (!record || record->ip == own.ip) {
            return;
        }
        auto& item = this->peers[record->ip];
        const bool unknown = item.record.incarnation != record->incarnation;
        item.record = *record;
        item.heard = this->loop.now();
        if (unknown) {
            // A new instance learns at once who is there and what is in force.
            this->send_to(record->ip);
        }
        for (const auto& ip : record->known_ips) {
            if (ip != own.ip && !this->peers.contains(ip)) {
                this->peers[ip].heard = this->loop.now() - this->rule.live_for - duration{1};
                this->send_to(ip);
            }
        }
        this->action(*record);
    }
};

fleet::fleet(event_loop& loop, const fleet_rule& bounds, sender outlet, listener action)
    : self{std::make_unique<implementation>(implementation{loop, bounds, std::move(outlet), std::move(action)})} {}

fleet::~fleet() {
    this->self->loop.cancel(this->self->timer);
}

void fleet::set_seeds(std::vector<std::string> ips) {
    this->self->seeds = std::move(ips);
}

void fleet::set_self(std::function<peer_record()> source) {
    this->self->source = std::move(source);
}

void fleet::start() {
    auto& state = *this->self;
    state.announce();
    state.timer = state.loop.every(state.rule.heartbeat_period, [&state] { state.announce(); });
}

void fleet::announce() {
    this->self->announce();
}

void fleet::receive(const std::string_view bytes) {
    this->self->receive(bytes);
}

std::vector<peer> fleet::live() const {
    std::vector<peer> found{};
    const auto now = this->self->loop.now();
    for (const auto& [ip, item] : this->self->peers) {
        if (now - item.heard <= this->self->rule.live_for && item.record.incarnation != 0U) {
            found.push_back(item);
        }
    }
    std::sort(found.begin(), found.end(),
              [](const peer& left, const peer& right) { return left.record.name < right.record.name; });
    return found;
}

std::vector<std::string> choose_addresses(const std::span<const peer_record> instances, const std::string_view host,
                                          const std::string_view region, const std::string_view zone,
                                          const std::size_t most) {
    struct candidate {
        int distance;
        std::uint64_t rank;
        const peer_record* record;
    };
    std::vector<candidate> candidates{};
    for (const auto& item : instances) {
        const int distance = item.zone == zone ? 0 : item.region == region ? 1 : 2;
        candidates.push_back({distance, rendezvous_rank(host, item.name), &item});
    }
    std::sort(candidates.begin(), candidates.end(), [](const candidate& left, const candidate& right) {
        return left.distance != right.distance ? left.distance < right.distance : left.rank > right.rank;
    });
    std::vector<std::string> chosen{};
    for (const auto& item : candidates) {
        // An address in another zone is named only where the caller's own zone has none.
        if (chosen.size() == most || item.distance != candidates.front().distance) {
            break;
        }
        chosen.push_back(item.record->caller_endpoint);
    }
    return chosen;
}

} // namespace mangopulley
