#include "departed_targets.hpp"

#include <algorithm>

namespace mangopulley {

void departed_targets::begin(const target_list& used, const target_list& restored, const time_point trusted_from) {
    this->trusted = trusted_from;
    this->excluded.clear();
    std::set<target_incarnation> in_use{};
    for (const auto& target : used.targets) {
        if (!target.draining) {
            in_use.insert(incarnation_of(target));
        }
    }
    for (const auto& target : restored.targets) {
        if (!target.draining && !in_use.contains(incarnation_of(target))) {
            this->excluded.insert(incarnation_of(target));
        }
    }
}

void departed_targets::adopt(const departure_report& report, const time_point now) {
    this->excluded = {report.targets.begin(), report.targets.end()};
    this->trusted = now + report.remaining;
}

departure_report departed_targets::report(const time_point now) const {
    return {{this->excluded.begin(), this->excluded.end()}, std::max(this->trusted - now, duration::zero())};
}

bool departed_targets::end(const time_point as_of) {
    if (this->excluded.empty() || as_of < this->trusted) {
        return false;
    }
    this->excluded.clear();
    return true;
}

bool departed_targets::excludes(const listed_target& target) const {
    return this->excluded.contains(incarnation_of(target));
}

std::size_t departed_targets::size() const noexcept {
    return this->excluded.size();
}

} // namespace mangopulley
