#include "read_times.hpp"

#include <algorithm>

namespace mangopulley {

namespace internal {

namespace {

// Several times the age at which every instance reads for itself.
constexpr duration kept_for{std::chrono::seconds{20}};

} // namespace

} // namespace internal

time_point read_times::earliest(const std::uint32_t read, const time_point told, const time_point now) {
    std::erase_if(this->reads, [now](const auto& entry) { return now - entry.second > internal::kept_for; });
    const auto position = this->reads.try_emplace(read, told).first;
    position->second = std::min(position->second, told);
    return position->second;
}

} // namespace mangopulley
