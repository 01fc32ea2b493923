#include "member_table.hpp"

#include <algorithm>
#include <map>
#include <mutex>
#include <set>
#include <unordered_map>
#include <utility>

#include <nlohmann/json.hpp>

namespace mangopulley {

namespace internal {

struct table_entry {
    member about{};
    time_point heard{};
    /*! @brief Latest time at which replies prove that the member could be heard. */
    std::optional<time_point> proved{};
    time_point started{};
};

[[nodiscard]] liveness judge(const duration age) noexcept {
    if (age >= dead_age) {
        return liveness::dead;
    }
    return age >= suspect_age ? liveness::suspect : liveness::live;
}

[[nodiscard]] const char* to_text(const liveness health) noexcept {
    constexpr const char* names[] = {"live", "suspect", "dead"};
    return names[static_cast<std::size_t>(health)];
}

using targets = std::vector<instance_record>;

} // namespace internal

struct member_table::implementation {
    const clock& time;
    mutable std::mutex guard{};
    member own;
    time_point own_start;
    std::unordered_map<incarnation_id, internal::table_entry> entries{};
    std::map<std::string, incarnation_id, std::less<>> by_name{};
    std::size_t cursor{};
    std::shared_ptr<const instance_list> list{std::make_shared<instance_list>()};
    std::map<std::string, std::shared_ptr<const internal::targets>, std::less<>> targets{};
    /*! @brief Peer endpoints of entry instances in the platform's list, by name. */
    std::map<std::string, std::string, std::less<>> listed_endpoints{};

    implementation(const clock& source, member self) : time{source}, own{std::move(self)}, own_start{source.now()} {}

    /*! @brief Uses the platform's endpoint of a member, which may differ from what the member says of itself. */
    void use_listed_endpoint(member& about) const {
        const auto position = this->listed_endpoints.find(about.instance_name);
        if (position != this->listed_endpoints.end()) {
            about.peer_endpoint = position->second;
        }
    }

    void forget_old(const time_point now) {
        std::erase_if(this->entries, [&](const auto& item) {
            const bool old = now - item.second.heard >= forgotten_age;
            if (old) {
                this->by_name.erase(item.second.about.instance_name);
            }
            return old;
        });
    }

    /*! @brief Finds or makes the entry; null when a younger incarnation of the same name is known. */
    [[nodiscard]] internal::table_entry* admit(const member& reported, const time_point at) {
        if (reported.incarnation == this->own.incarnation || reported.instance_name == this->own.instance_name) {
            return nullptr;
        }
        const auto started = at - reported.uptime;
        if (const auto known = this->entries.find(reported.incarnation); known != this->entries.end()) {
            // A message that was held up makes its sender look younger, so the earliest start is the right one.
            known->second.started = std::min(known->second.started, started);
            return &known->second;
        }
        if (const auto name = this->by_name.find(reported.instance_name); name != this->by_name.end()) {
            if (this->entries.at(name->second).started >= started) {
                return nullptr;
            }
            this->entries.erase(name->second);
        }
        this->by_name[reported.instance_name] = reported.incarnation;
        auto& entry = this->entries[reported.incarnation];
        entry.about = reported;
        entry.heard = time_point::min();
        entry.started = started;
        return &entry;
    }

    static void update(internal::table_entry& entry, const time_point when, const evidence how, const bool leaving,
                       const bool serving) {
        if (when > entry.heard) {
            entry.heard = when;
            entry.about.serving = serving;
        }
        if (leaving) {
            entry.about.state = member_state::leaving;
        }
        if (how == evidence::reply && (!entry.proved || when > *entry.proved)) {
            entry.proved = when;
        }
    }

    [[nodiscard]] member view(const internal::table_entry& entry, const time_point now) const {
        auto copy = entry.about;
        copy.age = std::max(duration::zero(), duration{now - entry.heard});
        copy.uptime = now - entry.started;
        copy.health = internal::judge(copy.age);
        return copy;
    }

    [[nodiscard]] member own_view(const time_point now) const {
        auto copy = this->own;
        copy.age = duration::zero();
        copy.uptime = now - this->own_start;
        copy.health = liveness::live;
        return copy;
    }

    template <typename Predicate>
    [[nodiscard]] std::vector<member> select(Predicate wanted) const {
        const auto now = this->time.now();
        const std::lock_guard lock{this->guard};
        std::vector<member> found{this->own_view(now)};
        for (const auto& [incarnation, entry] : this->entries) {
            auto copy = this->view(entry, now);
            if (copy.age < forgotten_age && wanted(copy)) {
                found.push_back(std::move(copy));
            }
        }
        return found;
    }
};

member_table::member_table(const clock& time, member self)
    : state{std::make_unique<implementation>(time, std::move(self))} {}

member_table::~member_table() = default;

member member_table::self() const {
    const std::lock_guard lock{this->state->guard};
    return this->state->own_view(this->state->time.now());
}

void member_table::set_leaving() {
    const std::lock_guard lock{this->state->guard};
    this->state->own.state = member_state::leaving;
}

void member_table::set_serving(const bool serving) {
    const std::lock_guard lock{this->state->guard};
    this->state->own.serving = serving;
}

void member_table::heard(const member& sender, const time_point at, const evidence how) {
    auto direct = sender;
    direct.age = duration::zero();
    this->merge(direct, at, how);
}

void member_table::merge(const member& reported, const time_point at, const evidence how) {
    const std::lock_guard lock{this->state->guard};
    this->state->forget_old(this->state->time.now());
    if (reported.age >= forgotten_age) {
        return;
    }
    if (auto* entry = this->state->admit(reported, at); entry != nullptr) {
        this->state->use_listed_endpoint(entry->about);
        implementation::update(*entry, at - reported.age, how, reported.state == member_state::leaving,
                               reported.serving);
    }
}

std::vector<std::uint32_t> member_table::merge_ages(const std::span<const member_age> ages, const time_point at,
                                                    const evidence how) {
    const std::lock_guard lock{this->state->guard};
    // Two members with the same prefix are told apart by neither report, so such a report is dropped.
    std::unordered_map<std::uint32_t, internal::table_entry*> by_prefix{};
    for (auto& [incarnation, entry] : this->state->entries) {
        const auto [position, fresh] = by_prefix.emplace(short_prefix(incarnation), &entry);
        if (!fresh) {
            position->second = nullptr;
        }
    }
    by_prefix[short_prefix(this->state->own.incarnation)] = nullptr;
    std::vector<std::uint32_t> unknown{};
    for (const auto& report : ages) {
        const auto position = by_prefix.find(report.prefix);
        if (position == by_prefix.end()) {
            if (report.age < dead_age) {
                unknown.push_back(report.prefix);
            }
        } else if (position->second != nullptr) {
            implementation::update(*position->second, at - report.age, how, report.leaving, report.serving);
        }
    }
    return unknown;
}

std::vector<member_age> member_table::ages_to_report(const std::size_t count) {
    const auto now = this->state->time.now();
    const std::lock_guard lock{this->state->guard};
    std::vector<std::pair<duration, const internal::table_entry*>> known{};
    for (const auto& [incarnation, entry] : this->state->entries) {
        if (entry.proved && now - *entry.proved < forgotten_age) {
            known.emplace_back(std::max(duration::zero(), duration{now - *entry.proved}), &entry);
        }
    }
    if (known.size() > count) {
        std::sort(known.begin(), known.end());
        // Young ages are news to most peers; the rest rotate, so that every member has its turn in a large fleet. In a
        // simulated fleet of 56 instances, this share gives fewer live members judged dead than a half or a quarter.
        const auto youngest = count * 3U / 4U;
        const auto rest = known.size() - youngest;
        const auto first = this->state->cursor % rest;
        this->state->cursor += count - youngest;
        std::rotate(known.begin() + static_cast<std::ptrdiff_t>(youngest),
                    known.begin() + static_cast<std::ptrdiff_t>(youngest + first), known.end());
        known.resize(count);
    }
    std::vector<member_age> reports{};
    reports.reserve(known.size());
    for (const auto& [age, entry] : known) {
        reports.push_back({short_prefix(entry->about.incarnation), age, entry->about.state == member_state::leaving,
                           entry->about.serving});
    }
    return reports;
}

std::vector<member> member_table::described(const std::span<const std::uint32_t> prefixes) const {
    return this->state->select([prefixes](const member& about) {
        return prefixes.empty() ||
               std::find(prefixes.begin(), prefixes.end(), short_prefix(about.incarnation)) != prefixes.end();
    });
}

bool member_table::set_instances(instance_list list) {
    std::map<std::string, internal::targets, std::less<>> grouped{};
    std::map<std::string, std::string, std::less<>> endpoints{};
    for (const auto& record : list.instances) {
        if (record.role == "target") {
            grouped[record.service].push_back(record);
        } else {
            endpoints.emplace(record.id, record.address);
        }
    }
    std::map<std::string, std::shared_ptr<const internal::targets>, std::less<>> shared{};
    for (auto& [service, records] : grouped) {
        shared.emplace(service, std::make_shared<const internal::targets>(std::move(records)));
    }
    auto next = std::make_shared<const instance_list>(std::move(list));
    const std::lock_guard lock{this->state->guard};
    if (next->revision <= this->state->list->revision) {
        return false;
    }
    this->state->list = std::move(next);
    this->state->targets = std::move(shared);
    this->state->listed_endpoints = std::move(endpoints);
    for (auto& [incarnation, entry] : this->state->entries) {
        this->state->use_listed_endpoint(entry.about);
    }
    return true;
}

std::shared_ptr<const instance_list> member_table::instances() const {
    const std::lock_guard lock{this->state->guard};
    return this->state->list;
}

std::shared_ptr<const std::vector<instance_record>> member_table::targets_of(const std::string_view service) const {
    static const auto none = std::make_shared<const internal::targets>();
    const std::lock_guard lock{this->state->guard};
    const auto position = this->state->targets.find(service);
    return position == this->state->targets.end() ? none : position->second;
}

std::vector<member> member_table::members() const {
    return this->state->select([](const member& /*about*/) { return true; });
}

std::vector<member> member_table::live() const {
    return this->state->select([](const member& about) { return about.health != liveness::dead; });
}

std::optional<member> member_table::find(const incarnation_id incarnation) const {
    const auto now = this->state->time.now();
    const std::lock_guard lock{this->state->guard};
    if (incarnation == this->state->own.incarnation) {
        return this->state->own_view(now);
    }
    const auto position = this->state->entries.find(incarnation);
    return position == this->state->entries.end() ? std::nullopt
                                                  : std::optional{this->state->view(position->second, now)};
}

std::vector<std::string> member_table::candidates() const {
    const auto now = this->state->time.now();
    const std::lock_guard lock{this->state->guard};
    std::set<std::string> endpoints{};
    std::set<std::string> live{this->state->own.peer_endpoint};
    for (const auto& [incarnation, entry] : this->state->entries) {
        const bool dead = internal::judge(now - entry.heard) == liveness::dead;
        (dead ? endpoints : live).insert(entry.about.peer_endpoint);
    }
    for (const auto& record : this->state->list->instances) {
        if (record.role == "entry" && record.id != this->state->own.instance_name) {
            endpoints.insert(record.address);
        }
    }
    std::vector<std::string> found{};
    std::set_difference(endpoints.begin(), endpoints.end(), live.begin(), live.end(), std::back_inserter(found));
    return found;
}

contact_counts member_table::contacts(const time_point since) const {
    const std::lock_guard lock{this->state->guard};
    if (this->state->list->revision == 0U) {
        return {};
    }
    std::set<std::string, std::less<>> known{this->state->own.instance_name};
    for (const auto& record : this->state->list->instances) {
        if (record.role == "entry" && !record.leaving) {
            known.insert(record.id);
        }
    }
    std::size_t in_contact{1U};
    for (const auto& [incarnation, entry] : this->state->entries) {
        if (!entry.proved || *entry.proved < since) {
            continue;
        }
        if (entry.about.state == member_state::leaving) {
            known.erase(entry.about.instance_name);
            continue;
        }
        known.insert(entry.about.instance_name);
        ++in_contact;
    }
    return {known.size(), in_contact};
}

std::string member_table::describe() const {
    const auto to_ms = [](const duration time) { return std::chrono::duration_cast<milliseconds>(time).count(); };
    auto dump = nlohmann::json{{"revision", this->instances()->revision}, {"members", nlohmann::json::array()}};
    for (const auto& about : this->members()) {
        dump["members"].push_back({{"incarnation", about.incarnation.to_string()},
                                   {"instance", about.instance_name},
                                   {"peer", about.peer_endpoint},
                                   {"caller", about.caller_address},
                                   {"zone", about.zone},
                                   {"region", about.region},
                                   {"state", about.state == member_state::leaving ? "leaving" : "live"},
                                   {"serving", about.serving},
                                   {"health", internal::to_text(about.health)},
                                   {"age_ms", to_ms(about.age)},
                                   {"uptime_ms", to_ms(about.uptime)}});
    }
    return dump.dump();
}

} // namespace mangopulley
