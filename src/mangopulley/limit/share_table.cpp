#include "share_table.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <mutex>

namespace mangopulley {

namespace internal {

// Longer than any instance takes to hear of another's demand: a few heartbeat periods of 500 ms.
constexpr auto growth_delay = std::chrono::seconds{3};
// Lets an instance without demand serve the first requests that reach it.
constexpr double floor_share = 0.02;

struct sample {
    time_point at;
    double share;
};

[[nodiscard]] double floor_for(const std::size_t instances) noexcept {
    return std::min(floor_share, 1.0 / (2.0 * static_cast<double>(std::max<std::size_t>(instances, 1U))));
}

[[nodiscard]] double wanted_share(const demand_view& view) noexcept {
    if (!view.standing) {
        return 0.0;
    }
    const auto instances = static_cast<double>(std::max<std::size_t>(view.instances, 1U));
    const double floor = floor_for(view.instances);
    const double proportion = view.total > 0.0 ? std::min(1.0, view.own / view.total) : 1.0 / instances;
    return floor + ((1.0 - (instances * floor)) * proportion);
}

/*! @brief Shares wanted within the growth delay; the smallest of them is in force. */
struct share_history {
    std::deque<sample> samples{};

    void add(const time_point now, const double share, const double before_first) {
        if (this->samples.empty()) {
            this->samples.push_back({now, std::min(before_first, share)});
        }
        // A sample can never be the smallest again once a smaller one follows it.
        while (!this->samples.empty() && this->samples.back().share >= share) {
            this->samples.pop_back();
        }
        this->samples.push_back({now, share});
        while (this->samples.size() > 1U && now - this->samples.front().at >= growth_delay) {
            this->samples.pop_front();
        }
    }
};

} // namespace internal

struct share_table::implementation {
    const clock& time;
    mutable std::mutex guard{};
    std::map<std::string, internal::share_history, std::less<>> services{};

    explicit implementation(const clock& source) : time{source} {}
};

share_table::share_table(const clock& time) : self{std::make_unique<implementation>(time)} {}

share_table::~share_table() = default;

void share_table::update(const std::string_view service, const demand_view& view) {
    const std::lock_guard lock{this->self->guard};
    auto position = this->self->services.find(service);
    if (position == this->self->services.end()) {
        position = this->self->services.emplace(std::string{service}, internal::share_history{}).first;
    }
    // The only live instance has nobody to wait for.
    const double before_first = view.instances <= 1U ? 1.0 : internal::floor_for(view.instances);
    position->second.add(this->self->time.now(), internal::wanted_share(view), before_first);
}

void share_table::drop_all() {
    const std::lock_guard lock{this->self->guard};
    const auto now = this->self->time.now();
    for (auto& [service, history] : this->self->services) {
        history.samples.assign(1U, {now, 0.0});
    }
}

double share_table::share(const std::string_view service) const {
    const std::lock_guard lock{this->self->guard};
    const auto position = this->self->services.find(service);
    return position == this->self->services.end() ? 0.0 : position->second.samples.front().share;
}

} // namespace mangopulley
