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
    member description{};
    time_point last_seen{};
    /*! @brief Latest time at which replies prove contact with the member. */
    std::optional<time_point> last_proved_contact{};
    time_point started{};
};

[[nodiscard]] liveness classify_age(const duration age) noexcept {
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
    std::size_t rotation_offset{};
    std::shared_ptr<const instance_list> list{std::make_shared<instance_list>()};
    std::map<std::string, std::shared_ptr<const internal::targets>, std::less<>> targets{};
    /*! @brief Peer endpoints of entry instances in the platform's list, by name. */
    std::map<std::string, std::string, std::less<>> listed_endpoints{};

    implementation(const clock& source, member self) : time{source}, own{std::move(self)}, own_start{source.now()} {}

    /*! @brief Replaces the advertised endpoint of a member by that of the platform's list, which may differ. */
    void apply_listed_endpoint(member& instance) const {
        const auto position = this->listed_endpoints.find(instance.instance_name);
        if (position != this->listed_endpoints.end()) {
            instance.peer_endpoint = position->second;
        }
    }

    void remove_expired(const time_point now) {
        std::erase_if(this->entries, [&](const auto& item) {
            const bool expired = now - item.second.last_seen >= removal_age;
            if (expired) {
                this->by_name.erase(item.second.description.instance_name);
            }
            return expired;
        });
    }

    /*! @brief Finds or creates the entry; null for this instance or if a younger incarnation of the name is known. */
    [[nodiscard]] internal::table_entry* find_or_create(const member& reported, const time_point at) {
        if (reported.incarnation == this->own.incarnation || reported.instance_name == this->own.instance_name) {
            return nullptr;
        }
        const auto started = at - reported.uptime;
        if (const auto known = this->entries.find(reported.incarnation); known != this->entries.end()) {
            // A delayed message makes its sender look younger, so the earliest start is the most accurate.
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
        entry.description = reported;
        entry.last_seen = time_point::min();
        entry.started = started;
        return &entry;
    }

    static void update(internal::table_entry& entry, const time_point at, const evidence kind, const bool leaving,
                       const bool serving) {
        if (at > entry.last_seen) {
            entry.last_seen = at;
            entry.description.serving = serving;
        }
        if (leaving) {
            entry.description.state = member_state::leaving;
        }
        if (kind == evidence::reply && (!entry.last_proved_contact || at > *entry.last_proved_contact)) {
            entry.last_proved_contact = at;
        }
    }

    [[nodiscard]] member snapshot(const internal::table_entry& entry, const time_point now) const {
        auto copy = entry.description;
        copy.age = std::max(duration::zero(), duration{now - entry.last_seen});
        copy.uptime = now - entry.started;
        copy.health = internal::classify_age(copy.age);
        return copy;
    }

    [[nodiscard]] member own_snapshot(const time_point now) const {
        auto copy = this->own;
        copy.age = duration::zero();
        copy.uptime = now - this->own_start;
        copy.health = liveness::live;
        return copy;
    }

    template <typename Predicate>
    [[nodiscard]] std::vector<member> select(Predicate matches) const {
        const auto now = this->time.now();
        const std::lock_guard lock{this->guard};
        std::vector<member> found{this->own_snapshot(now)};
        for (const auto& [incarnation, entry] : this->entries) {
            auto copy = this->snapshot(entry, now);
            if (copy.age < removal_age && matches(copy)) {
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
    return this->state->own_snapshot(this->state->time.now());
}

void member_table::set_leaving() {
    const std::lock_guard lock{this->state->guard};
    this->state->own.state = member_state::leaving;
}

void member_table::set_serving(const bool serving) {
    const std::lock_guard lock{this->state->guard};
    this->state->own.serving = serving;
}

void member_table::record_direct(const member& sender, const time_point at, const evidence kind) {
    auto direct = sender;
    direct.age = duration::zero();
    this->merge(direct, at, kind);
}

void member_table::merge(const member& reported, const time_point at, const evidence kind) {
    const std::lock_guard lock{this->state->guard};
    this->state->remove_expired(this->state->time.now());
    if (reported.age >= removal_age) {
        return;
    }
    if (auto* entry = this->state->find_or_create(reported, at); entry != nullptr) {
        this->state->apply_listed_endpoint(entry->description);
        implementation::update(*entry, at - reported.age, kind, reported.state == member_state::leaving,
                               reported.serving);
    }
}

std::vector<std::uint32_t> member_table::merge_digests(const std::span<const member_digest> digests,
                                                       const time_point at, const evidence kind) {
    const std::lock_guard lock{this->state->guard};
    // A digest whose short id is shared by two members is ambiguous and is dropped.
    std::unordered_map<std::uint32_t, internal::table_entry*> by_short_id{};
    for (auto& [incarnation, entry] : this->state->entries) {
        const auto [position, inserted] = by_short_id.emplace(to_short_id(incarnation), &entry);
        if (!inserted) {
            position->second = nullptr;
        }
    }
    by_short_id[to_short_id(this->state->own.incarnation)] = nullptr;
    std::vector<std::uint32_t> unknown{};
    for (const auto& digest : digests) {
        const auto position = by_short_id.find(digest.short_id);
        if (position == by_short_id.end()) {
            if (digest.age < dead_age) {
                unknown.push_back(digest.short_id);
            }
        } else if (position->second != nullptr) {
            implementation::update(*position->second, at - digest.age, kind, digest.leaving, digest.serving);
        }
    }
    return unknown;
}

std::vector<member_digest> member_table::digests_to_send(const std::size_t count) {
    const auto now = this->state->time.now();
    const std::lock_guard lock{this->state->guard};
    std::vector<std::pair<duration, const internal::table_entry*>> known{};
    for (const auto& [incarnation, entry] : this->state->entries) {
        if (entry.last_proved_contact && now - *entry.last_proved_contact < removal_age) {
            known.emplace_back(std::max(duration::zero(), duration{now - *entry.last_proved_contact}), &entry);
        }
    }
    if (known.size() > count) {
        // Members of one age are ordered by identity and not by address, so that a run of a simulated fleet depends on
        // its seed alone; the own identity in the key makes instances prefer different members.
        const auto own = this->state->own.incarnation.value();
        const auto key = [own](const auto& item) {
            return std::pair{item.first, item.second->description.incarnation.value() ^ own};
        };
        std::sort(known.begin(), known.end(),
                  [&key](const auto& left, const auto& right) { return key(left) < key(right); });
        // The most recent contacts are new to most peers; the rest rotates, so that every member of a large fleet is
        // reported in turn. In a simulated fleet of 56 instances, a share of three quarters leads to fewer live members
        // classified as dead than a half or a quarter.
        const auto youngest = count * 3U / 4U;
        const auto rest = known.size() - youngest;
        const auto first = this->state->rotation_offset % rest;
        this->state->rotation_offset += count - youngest;
        std::rotate(known.begin() + static_cast<std::ptrdiff_t>(youngest),
                    known.begin() + static_cast<std::ptrdiff_t>(youngest + first), known.end());
        known.resize(count);
    }
    std::vector<member_digest> digests{};
    digests.reserve(known.size());
    for (const auto& [age, entry] : known) {
        digests.push_back({to_short_id(entry->description.incarnation), age,
                           entry->description.state == member_state::leaving, entry->description.serving});
    }
    return digests;
}

std::vector<member> member_table::members_matching(const std::span<const std::uint32_t> short_ids) const {
    return this->state->select([short_ids](const member& instance) {
        return short_ids.empty() ||
               std::find(short_ids.begin(), short_ids.end(), to_short_id(instance.incarnation)) != short_ids.end();
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
        this->state->apply_listed_endpoint(entry.description);
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
    return this->state->select([](const member& /*instance*/) { return true; });
}

std::vector<member> member_table::live() const {
    return this->state->select([](const member& instance) { return instance.health != liveness::dead; });
}

std::optional<member> member_table::find(const incarnation_id incarnation) const {
    const auto now = this->state->time.now();
    const std::lock_guard lock{this->state->guard};
    if (incarnation == this->state->own.incarnation) {
        return this->state->own_snapshot(now);
    }
    const auto position = this->state->entries.find(incarnation);
    return position == this->state->entries.end() ? std::nullopt
                                                  : std::optional{this->state->snapshot(position->second, now)};
}

std::vector<std::string> member_table::candidates() const {
    const auto now = this->state->time.now();
    const std::lock_guard lock{this->state->guard};
    std::set<std::string> endpoints{};
    std::set<std::string> live{this->state->own.peer_endpoint};
    for (const auto& [incarnation, entry] : this->state->entries) {
        const bool dead = internal::classify_age(now - entry.last_seen) == liveness::dead;
        (dead ? endpoints : live).insert(entry.description.peer_endpoint);
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
        if (!entry.last_proved_contact || *entry.last_proved_contact < since) {
            continue;
        }
        if (entry.description.state == member_state::leaving) {
            known.erase(entry.description.instance_name);
            continue;
        }
        known.insert(entry.description.instance_name);
        ++in_contact;
    }
    return {known.size(), in_contact};
}

std::string member_table::describe() const {
    const auto to_ms = [](const duration time) { return std::chrono::duration_cast<milliseconds>(time).count(); };
    auto dump = nlohmann::json{{"revision", this->instances()->revision}, {"members", nlohmann::json::array()}};
    for (const auto& instance : this->members()) {
        dump["members"].push_back({{"incarnation", instance.incarnation.to_string()},
                                   {"instance", instance.instance_name},
                                   {"peer", instance.peer_endpoint},
                                   {"caller", instance.caller_address},
                                   {"zone", instance.zone},
                                   {"region", instance.region},
                                   {"state", instance.state == member_state::leaving ? "leaving" : "live"},
                                   {"serving", instance.serving},
                                   {"health", internal::to_text(instance.health)},
                                   {"age_ms", to_ms(instance.age)},
                                   {"uptime_ms", to_ms(instance.uptime)}});
    }
    return dump.dump();
}

} // namespace mangopulley
