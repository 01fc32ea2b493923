#include "departed_targets.hpp"

#include <set>

namespace mangopulley {

namespace internal {

namespace {

// Targets renew their entries every 1.5 s; one that is not renewed expires after three of these intervals.
constexpr duration stale_entry_lifetime{std::chrono::seconds{6}};
// Longer than the age of any copy that a store is restored from.
constexpr duration retention{std::chrono::minutes{2}};

} // namespace

} // namespace internal

void departed_targets::record(const target_list& previous, const target_list& next, const time_point now) {
    std::set<incarnation> present{};
    for (const auto& target : next.targets) {
        present.emplace(target.id, target.born);
        if (target.draining) {
            this->departures.try_emplace({target.id, target.born}, now);
        } else if (!this->excludes(target)) {
            this->departures.erase({target.id, target.born});
        }
    }
    for (const auto& target : previous.targets) {
        if (!present.contains({target.id, target.born})) {
            this->departures.try_emplace({target.id, target.born}, now);
        }
    }
    std::erase_if(this->departures, [now](const auto& entry) { return now - entry.second > internal::retention; });
}

void departed_targets::begin_exclusion(const time_point now) noexcept {
    this->excluded_since = now;
    this->excluding = true;
}

bool departed_targets::excludes(const listed_target& target) const {
    if (!this->excluding) {
        return false;
    }
    const auto position = this->departures.find({target.id, target.born});
    return position != this->departures.end() && position->second < this->excluded_since;
}

bool departed_targets::end_exclusion(const time_point now) noexcept {
    const bool ended = this->excluding && now - this->excluded_since >= internal::stale_entry_lifetime;
    this->excluding = this->excluding && !ended;
    return ended;
}

} // namespace mangopulley
