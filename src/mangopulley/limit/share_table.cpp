#include "share_table.hpp"

#include <algorithm>
#include <map>
#include <mutex>

namespace mangopulley {

namespace internal {

// Minimum share of the limit, so that an instance can serve its first requests while the others use the whole limit.
constexpr double min_share = 0.02;

[[nodiscard]] double min_share_for(const std::size_t instances) noexcept {
    return std::min(min_share, 1.0 / (2.0 * static_cast<double>(std::max<std::size_t>(instances, 1U))));
}

[[nodiscard]] double compute_share(const demand_view& view) noexcept {
    if (!view.in_contact) {
        return 0.0;
    }
    const double total = view.own + view.others;
    const double by_demand = total > 0.0 ? view.own / total : 1.0;
    const double unused_share = view.limit > 0.0 ? 1.0 - (view.others / view.limit) : by_demand;
    return std::clamp(std::max(by_demand, unused_share), min_share_for(view.instances), 1.0);
}

} // namespace internal

struct share_table::implementation {
    mutable std::mutex guard{};
    std::map<std::string, double, std::less<>> shares{};
};

share_table::share_table() : self{std::make_unique<implementation>()} {}

share_table::~share_table() = default;

void share_table::update(const std::string_view service, const demand_view& view) {
    const std::lock_guard lock{this->self->guard};
    this->self->shares.insert_or_assign(std::string{service}, internal::compute_share(view));
}

void share_table::drop_all() {
    const std::lock_guard lock{this->self->guard};
    for (auto& [service, share] : this->self->shares) {
        share = 0.0;
    }
}

double share_table::share(const std::string_view service) const {
    const std::lock_guard lock{this->self->guard};
    const auto position = this->self->shares.find(service);
    return position == this->self->shares.end() ? 0.0 : position->second;
}

} // namespace mangopulley
