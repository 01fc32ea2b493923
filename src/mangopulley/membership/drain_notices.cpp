#include "drain_notices.hpp"

#include <algorithm>
#include <map>
#include <mutex>

namespace mangopulley {

namespace internal {

// Several times the number of targets of a large site; bounds the memory that a faulty peer can consume.
constexpr std::size_t max_drain_notices = 4096U;

struct drain_report_times {
    time_point first{};
    time_point last{};
};

} // namespace internal

struct drain_notices::implementation {
    const clock& time;
    mutable std::mutex guard{};
    std::map<std::string, internal::drain_report_times, std::less<>> targets{};

    explicit implementation(const clock& source) : time{source} {}
};

drain_notices::drain_notices(const clock& time) : self{std::make_unique<implementation>(time)} {}

drain_notices::~drain_notices() = default;

bool drain_notices::report(const std::string_view target, const duration age) {
    const auto now = this->self->time.now();
    const std::lock_guard lock{this->self->guard};
    std::erase_if(this->self->targets,
                  [now](const auto& item) { return now - item.second.last >= drain_report_lifetime; });
    if (age >= drain_report_lifetime) {
        return false;
    }
    const auto at = now - age;
    if (const auto position = this->self->targets.find(target); position != this->self->targets.end()) {
        position->second.first = std::min(position->second.first, at);
        position->second.last = std::max(position->second.last, at);
        return false;
    }
    if (this->self->targets.size() >= internal::max_drain_notices) {
        return false;
    }
    this->self->targets.emplace(target, internal::drain_report_times{at, at});
    return true;
}

std::optional<duration> drain_notices::draining_for(const std::string_view target) const {
    const auto now = this->self->time.now();
    const std::lock_guard lock{this->self->guard};
    const auto position = this->self->targets.find(target);
    if (position == this->self->targets.end() || now - position->second.last >= drain_report_lifetime) {
        return std::nullopt;
    }
    return now - position->second.first;
}

std::vector<drain_report> drain_notices::recent(const duration age) const {
    const auto now = this->self->time.now();
    const std::lock_guard lock{this->self->guard};
    std::vector<drain_report> reports{};
    for (const auto& [target, times] : this->self->targets) {
        if (now - times.last <= age && now - times.last < drain_report_lifetime) {
            reports.push_back({target, now - times.last});
        }
    }
    return reports;
}

} // namespace mangopulley
