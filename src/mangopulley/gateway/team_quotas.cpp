#include "team_quotas.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

namespace mangopulley {

namespace internal {

namespace {

constexpr duration report_period{std::chrono::milliseconds{200}};

} // namespace

} // namespace internal

team_quotas::team_quotas(event_loop& used, const allowance_rule& bounds, const std::string_view own_ip,
                         const std::uint64_t incarnation, callbacks out)
    : loop{used}, table{bounds, own_ip, incarnation}, hooks{std::move(out)} {}

team_quotas::~team_quotas() {
    this->loop.cancel(this->timer);
}

void team_quotas::start() {
    this->timer = this->loop.every(internal::report_period, [this] { this->report(); });
}

void team_quotas::send(const fleet_view& view, const std::span<const std::string> messages) const {
    auto receivers = view.advertised_ips;
    for (auto& ip : this->table.senders(this->loop.now())) {
        if (std::find(receivers.begin(), receivers.end(), ip) == receivers.end()) {
            receivers.push_back(std::move(ip));
        }
    }
    for (const auto& bytes : messages) {
        for (const auto& ip : receivers) {
            this->hooks.send(ip, bytes);
        }
    }
}

void team_quotas::leave() {
    this->leave(this->hooks.fleet());
}

void team_quotas::leave(const fleet_view& view) {
    if (std::exchange(this->reporting, false)) {
        this->send(view, std::vector{this->table.leaving_report()});
    }
}

void team_quotas::report() {
    const auto now = this->loop.now();
    const auto view = this->hooks.fleet();
    this->table.set_fleet(view.advertised, view.alone, now);
    if (!this->table.limited()) {
        return;
    }
    // Advertised instances report without demand, too: their silence would look like a partition.
    if (!view.own_advertised && !this->table.in_demand(now)) {
        this->leave(view);
        return;
    }
    this->reporting = true;
    this->send(view, this->table.reports(now));
}

void team_quotas::configure(const std::vector<team_config>& teams) {
    std::vector<allowance_limit> limits{};
    limits.reserve(teams.size());
    for (const auto& team : teams) {
        limits.push_back({team.name, team.rate, team.burst});
    }
    this->table.configure(limits, this->loop.now());
}

bool team_quotas::try_admit(const team_config& team) {
    return this->table.try_take(team.name, this->loop.now());
}

void team_quotas::give_back(const team_config& team) {
    this->table.give_back(team.name, this->loop.now());
}

duration team_quotas::retry_after(const team_config& team) {
    return this->table.time_to_token(team.name, this->loop.now());
}

std::optional<allowance_table::limit_preview> team_quotas::preview(const team_config& team) const {
    return this->table.preview(team.name, this->loop.now());
}

bool team_quotas::receive(const std::string_view ip, const std::string_view bytes) {
    return this->table.receive(ip, bytes, this->loop.now());
}

nlohmann::json team_quotas::describe() const {
    return this->table.describe(this->loop.now());
}

} // namespace mangopulley
