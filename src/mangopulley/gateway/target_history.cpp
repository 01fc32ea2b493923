#include "target_history.hpp"

#include <algorithm>
#include <unordered_map>

namespace mangopulley {

namespace internal {

namespace {

// Lists change about once for each read; others ask for the changes within a second or two.
constexpr std::size_t most_versions = 6U;

} // namespace

} // namespace internal

void target_history::note(const target_list& list) {
    version next{};
    next.digest = digest_of(list);
    next.targets.reserve(list.targets.size());
    for (const auto& target : list.targets) {
        next.targets.emplace_back(target.id, digest_of(target));
    }
    this->versions.push_back(std::move(next));
    if (this->versions.size() > internal::most_versions) {
        this->versions.pop_front();
    }
}

std::optional<target_changes> target_history::changes_since(const std::uint64_t former,
                                                            const target_list& present) const {
    const auto known = std::find_if(this->versions.rbegin(), this->versions.rend(),
                                    [former](const version& item) { return item.digest == former; });
    if (known == this->versions.rend()) {
        return std::nullopt;
    }
    target_changes changes{};
    changes.from = former;
    changes.to = digest_of(present);
    changes.revision = present.revision;
    std::unordered_map<std::string, std::uint64_t> before{known->targets.begin(), known->targets.end()};
    for (const auto& target : present.targets) {
        const auto old = before.extract(target.id);
        if (old.empty() || old.mapped() != digest_of(target)) {
            changes.changed.push_back(target);
        }
    }
    for (auto& [id, digest] : before) {
        changes.removed.push_back(id);
    }
    return changes;
}

} // namespace mangopulley
