#include "target_history.hpp"

#include <algorithm>
#include <unordered_map>

namespace mangopulley {

namespace internal {

namespace {

// Lists change about once per read; other instances fetch the changes within a second or two.
constexpr std::size_t max_versions = 6U;

} // namespace

} // namespace internal

void target_history::record(const std::uint64_t digest, const target_list& list) {
    version next{};
    next.digest = digest;
    next.targets.reserve(list.targets.size());
    for (const auto& target : list.targets) {
        next.targets.emplace_back(target.id, digest_of(target));
    }
    this->versions.push_back(std::move(next));
    if (this->versions.size() > internal::max_versions) {
        this->versions.pop_front();
    }
}

std::optional<target_changes> target_history::changes_since(const std::uint64_t previous,
                                                            const target_list& current) const {
    const auto known = std::find_if(this->versions.rbegin(), this->versions.rend(),
                                    [previous](const version& item) { return item.digest == previous; });
    if (known == this->versions.rend()) {
        return std::nullopt;
    }
    target_changes changes{};
    changes.from = previous;
    const auto& latest = this->versions.back();
    changes.to = latest.digest;
    changes.position = current.position;
    std::unordered_map<std::string, std::uint64_t> before{known->targets.begin(), known->targets.end()};
    for (std::size_t index = 0U; index < latest.targets.size(); ++index) {
        const auto& [id, digest] = latest.targets[index];
        const auto old = before.extract(id);
        if (old.empty() || old.mapped() != digest) {
            changes.changed.push_back(current.targets[index]);
        }
    }
    for (auto& [id, digest] : before) {
        changes.removed.push_back(id);
    }
    return changes;
}

} // namespace mangopulley
