#include "timeout_estimator.hpp"

#include <algorithm>

namespace mangopulley {

void timeout_estimator::record(const std::int64_t milliseconds_left) {
    const auto known = std::find_if(this->entries.begin(), this->entries.end(),
                                    [&](const entry& item) { return item.milliseconds_left == milliseconds_left; });
    if (known != this->entries.end()) {
        ++known->count;
    } else if (this->entries.size() < max_entries) {
        this->entries.push_back({milliseconds_left, 1U});
    } else {
        // Frequent items in bounded space (Misra and Gries, 1982): a new item decrements every counter.
        for (auto& item : this->entries) {
            --item.count;
        }
        std::erase_if(this->entries, [](const entry& item) { return item.count == 0U; });
    }
}

duration timeout_estimator::spent(const duration time_left) {
    const auto left = std::chrono::duration_cast<milliseconds>(time_left).count();
    this->record(left);
    const auto typical =
        std::max_element(this->entries.begin(), this->entries.end(),
                         [](const entry& first, const entry& second) { return first.count < second.count; });
    if (typical == this->entries.end() || typical->milliseconds_left <= left) {
        return duration::zero();
    }
    return milliseconds{typical->milliseconds_left - left};
}

} // namespace mangopulley
