#include "listed_target.hpp"

#include <map>
#include <utility>

#include "../core/fnv_hash.hpp"

namespace mangopulley {

std::optional<target_list> apply_changes(const target_list& list, const target_changes& changes) {
    if (digest_of(list) != changes.from) {
        return std::nullopt;
    }
    std::map<std::string, listed_target> by_id{};
    for (const auto& target : list.targets) {
        by_id.emplace(target.id, target);
    }
    for (const auto& id : changes.removed) {
        by_id.erase(id);
    }
    for (const auto& target : changes.changed) {
        by_id.insert_or_assign(target.id, target);
    }
    target_list next{};
    next.position = changes.position;
    for (auto& [id, target] : by_id) {
        next.targets.push_back(std::move(target));
    }
    return digest_of(next) == changes.to ? std::optional{std::move(next)} : std::nullopt;
}

std::uint64_t digest_of(const listed_target& target) {
    fnv_hash digest{};
    digest.add(target.id).add(target.born).add(target.service).add(target.endpoint).add(target.zone);
    digest.add(std::uint64_t{target.slots}).add(std::uint64_t{target.draining});
    digest.add(std::uint64_t{target.warm_up > duration::zero()});
    return digest.value();
}

std::uint64_t digest_of(const target_list& list) {
    fnv_hash digest{};
    for (const auto& target : list.targets) {
        digest.add(digest_of(target));
    }
    return digest.value();
}

} // namespace mangopulley
