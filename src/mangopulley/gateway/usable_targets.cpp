#include "usable_targets.hpp"

#include <algorithm>
#include <set>

namespace mangopulley {

void usable_targets::retain_missing(const target_list& listed, const time_point until) {
    std::set<target_incarnation> present{};
    for (const auto& target : listed.targets) {
        present.insert(incarnation_of(target));
    }
    for (const auto& known : this->usable.targets) {
        if (!known.draining && !present.contains(incarnation_of(known))) {
            this->missing.insert_or_assign(incarnation_of(known), missing_target{known, until});
        }
    }
}

std::size_t usable_targets::expire_missing(const time_point now) {
    return std::erase_if(this->missing, [now](const auto& entry) { return entry.second.until <= now; });
}

void usable_targets::exclude_departed(const target_list& restored, const time_point trusted_from) {
    this->told_departures = true;
    this->departed.begin(this->usable, restored, trusted_from);
}

void usable_targets::exclude(const departure_report& report, const time_point now) {
    this->told_departures = true;
    this->departed.adopt(report, now);
}

bool usable_targets::end_exclusion(const time_point as_of) {
    return this->departed.end(as_of);
}

void usable_targets::update(const target_list& listed) {
    this->usable = listed;
    auto& targets = this->usable.targets;
    std::erase_if(targets, [this](const listed_target& target) { return this->departed.excludes(target); });
    std::erase_if(this->missing, [&targets](const auto& entry) {
        const auto& missed = entry.second.listing;
        return std::any_of(targets.begin(), targets.end(), [&missed](const listed_target& target) {
            return target.id == missed.id || target.endpoint == missed.endpoint;
        });
    });
    for (const auto& [incarnation, missed] : this->missing) {
        targets.push_back(missed.listing);
    }
}

const target_list& usable_targets::list() const noexcept {
    return this->usable;
}

std::size_t usable_targets::missing_count() const noexcept {
    return this->missing.size();
}

std::size_t usable_targets::excluded_count() const noexcept {
    return this->departed.size();
}

departure_report usable_targets::departures(const time_point now) const {
    return this->departed.report(now);
}

bool usable_targets::knows_departures() const noexcept {
    return this->told_departures;
}

} // namespace mangopulley
