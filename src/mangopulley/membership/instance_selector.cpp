#include "instance_selector.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>
#include <utility>

#include "../core/rendezvous.hpp"
#include "member_table.hpp"

namespace mangopulley {

namespace internal {

void sort_by_rank(std::vector<member>& members, const std::string_view key) {
    std::sort(members.begin(), members.end(), [key](const member& left, const member& right) {
        return std::pair{rendezvous_rank(key, left.instance_name), left.incarnation.value()} >
               std::pair{rendezvous_rank(key, right.instance_name), right.incarnation.value()};
    });
}

} // namespace internal

std::vector<member> instance_selector::instances_for(const std::string_view service, const std::size_t count) const {
    auto members = this->table.live();
    std::erase_if(members,
                  [](const member& instance) { return instance.state == member_state::leaving || !instance.serving; });
    internal::sort_by_rank(members, service);
    std::set<std::string> zones{};
    std::vector<member> chosen{};
    std::vector<member> rest{};
    for (auto& instance : members) {
        auto& destination = zones.insert(instance.zone).second ? chosen : rest;
        destination.push_back(std::move(instance));
    }
    std::move(rest.begin(), rest.end(), std::back_inserter(chosen));
    chosen.resize(std::min(chosen.size(), count));
    return chosen;
}

std::optional<incarnation_id> instance_selector::primary_of(const std::string_view service) const {
    const auto first = this->instances_for(service, 1U);
    return first.empty() ? std::nullopt : std::optional{first.front().incarnation};
}

std::vector<incarnation_id> instance_selector::witnesses_for(const incarnation_id home) const {
    auto members = this->table.live();
    const auto position = std::find_if(members.begin(), members.end(),
                                       [home](const member& instance) { return instance.incarnation == home; });
    const auto home_zone = position == members.end() ? std::string{} : position->zone;
    std::erase_if(members, [home](const member& instance) {
        return instance.incarnation == home || instance.state == member_state::leaving;
    });
    internal::sort_by_rank(members, home.to_string());
    std::stable_sort(members.begin(), members.end(), [&home_zone](const member& left, const member& right) {
        return std::tuple{left.health, left.zone == home_zone} < std::tuple{right.health, right.zone == home_zone};
    });
    std::vector<incarnation_id> chosen{};
    for (std::size_t index = 0U; index < std::min<std::size_t>(members.size(), 2U); ++index) {
        chosen.push_back(members[index].incarnation);
    }
    return chosen;
}

std::optional<std::string> instance_selector::endpoint_of(const incarnation_id incarnation) const {
    const auto found = this->table.find(incarnation);
    return found ? std::optional{found->peer_endpoint} : std::nullopt;
}

bool instance_selector::is_watcher() const {
    const auto self = this->table.self();
    auto members = this->table.live();
    std::erase_if(members, [&self](const member& instance) {
        return instance.zone != self.zone ||
               (instance.state == member_state::leaving && instance.incarnation != self.incarnation);
    });
    internal::sort_by_rank(members, "catalogue/current");
    members.resize(std::min(members.size(), watchers_per_zone));
    return std::any_of(members.begin(), members.end(),
                       [&self](const member& instance) { return instance.incarnation == self.incarnation; });
}

} // namespace mangopulley
