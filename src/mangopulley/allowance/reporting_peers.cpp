#include "reporting_peers.hpp"

#include <algorithm>

#include "../core/rendezvous.hpp"

namespace mangopulley {

reporting_peers::reporting_peers(const allowance_rule& bounds, const std::string_view own_name) noexcept
    : rule{bounds}, own{hash_of_name(own_name)} {}

std::uint32_t reporting_peers::hash_of_name(const std::string_view name) noexcept {
    return static_cast<std::uint32_t>(rendezvous_rank("instance", name));
}

void reporting_peers::receive(const std::string_view sender, const allowance_report& report, const time_point now) {
    const auto position = this->peers.find(sender);
    if (report.leaving) {
        if (position != this->peers.end()) {
            this->peers.erase(position);
        }
        return;
    }
    auto& from = position == this->peers.end()
                     ? this->peers.emplace(sender, peer{hash_of_name(sender), 0U, {}, {}, {}, {}}).first->second
                     : position->second;
    if (from.incarnation != report.incarnation) {
        from = {from.hash, report.incarnation, now, {}, now, {}};
    }
    from.last_heard = now;
    from.last_alive = now;
    if (std::find(report.heard.begin(), report.heard.end(), this->own) != report.heard.end()) {
        from.last_heard_us = now;
    }
    // What the sender hears still runs, although this instance may not hear it.
    for (auto& [name, other] : this->peers) {
        if (std::find(report.heard.begin(), report.heard.end(), other.hash) != report.heard.end()) {
            other.last_alive = now;
        }
    }
    if (!report.partial) {
        std::erase_if(from.demands, [&report](const auto& entry) {
            return entry.first >= report.first_key && entry.first <= report.last_key;
        });
    }
    for (const auto& demand : report.demands) {
        from.demands[demand.key] = demand;
    }
}

void reporting_peers::expire(const time_point now) {
    std::erase_if(this->peers,
                  [this, now](const auto& entry) { return now - entry.second.last_alive > this->rule.peer_memory; });
}

bool reporting_peers::in_contact(const peer& from, const time_point now) const noexcept {
    return now - from.last_heard <= this->rule.contact && now - from.last_heard_us <= this->rule.contact;
}

peer_use reporting_peers::use_of(const std::uint32_t key, const time_point now) const {
    peer_use use{};
    for (const auto& [sender, from] : this->peers) {
        const auto found = from.demands.find(key);
        if (found == from.demands.end() || now - from.last_alive > this->rule.reservation) {
            continue;
        }
        const auto& last = found->second;
        use.shares += last.share;
        if (this->in_contact(from, now)) {
            use.demand += last.own;
            use.largest_known = std::max(use.largest_known, last.known);
            use.largest_used = std::max(use.largest_used, last.used);
        } else {
            ++use.silent;
            use.silent_demand += last.own;
        }
    }
    return use;
}

std::size_t reporting_peers::in_contact(const time_point now) const {
    return static_cast<std::size_t>(
        std::count_if(this->peers.begin(), this->peers.end(),
                      [this, now](const auto& entry) { return this->in_contact(entry.second, now); }));
}

std::size_t reporting_peers::reserved(const time_point now) const {
    return static_cast<std::size_t>(
        std::count_if(this->peers.begin(), this->peers.end(), [this, now](const auto& entry) {
            return now - entry.second.last_alive <= this->rule.reservation;
        }));
}

bool reporting_peers::fresh(const time_point now) const {
    return std::all_of(this->peers.begin(), this->peers.end(), [this, now](const auto& entry) {
        return now - entry.second.last_heard <= this->rule.fresh || !this->in_contact(entry.second, now);
    });
}

bool reporting_peers::in_majority(const time_point now) const {
    return 2U * (this->in_contact(now) + 1U) > std::max(this->peers.size() + 1U, this->expected);
}

bool reporting_peers::isolated(const time_point now) {
    if (this->in_majority(now)) {
        this->last_in_majority = now;
    }
    return now - this->last_in_majority > this->rule.isolation;
}

std::vector<std::uint32_t> reporting_peers::keys(const time_point now) const {
    std::vector<std::uint32_t> found{};
    for (const auto& [sender, from] : this->peers) {
        if (now - from.last_alive <= this->rule.reservation) {
            for (const auto& [key, demand] : from.demands) {
                found.push_back(key);
            }
        }
    }
    std::sort(found.begin(), found.end());
    found.erase(std::unique(found.begin(), found.end()), found.end());
    return found;
}

std::vector<std::string> reporting_peers::heard(const time_point now) const {
    std::vector<std::string> found{};
    for (const auto& [sender, from] : this->peers) {
        if (now - from.last_heard <= this->rule.contact) {
            found.push_back(sender);
        }
    }
    return found;
}

} // namespace mangopulley
