#include "probe_budget.hpp"

namespace mangopulley {

bool probe_budget::try_claim(const std::string_view target, const measuring_budget& limits, const std::size_t reserve) {
    const auto now = this->time_source.now();
    this->drop_expired(now);
    const auto position = this->per_target.find(target);
    const auto used = position == this->per_target.end() ? 0U : position->second;
    if (now < this->allowed_from || this->claims.size() + reserve >= limits.probes_per_second ||
        used + reserve >= limits.probes_per_target_per_second) {
        return false;
    }
    this->claims.push_back({std::string{target}, time_point::max()});
    ++this->per_target[std::string{target}];
    return true;
}

void probe_budget::complete(const time_point latest) {
    if (!this->claims.empty() && this->claims.back().until == time_point::max()) {
        this->claims.back().until = latest + probe_window;
    }
}

void probe_budget::drop_expired(const time_point now) {
    std::erase_if(this->claims, [&](const claim& candidate) {
        if (candidate.until > now) {
            return false;
        }
        if (const auto position = this->per_target.find(candidate.target); --position->second == 0U) {
            this->per_target.erase(position);
        }
        return true;
    });
}

} // namespace mangopulley
