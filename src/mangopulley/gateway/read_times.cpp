#include "read_times.hpp"

#include <algorithm>

namespace mangopulley {

namespace internal {

namespace {

// Several times the age at which every instance reads the document itself.
constexpr duration retention{std::chrono::seconds{20}};

} // namespace

} // namespace internal

time_point read_times::earliest(const std::uint32_t read, const time_point reported, const time_point now) {
    std::erase_if(this->reads, [now](const auto& entry) { return now - entry.second > internal::retention; });
    const auto position = this->reads.try_emplace(read, reported).first;
    position->second = std::min(position->second, reported);
    return position->second;
}

} // namespace mangopulley
