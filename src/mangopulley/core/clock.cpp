#include "clock.hpp"

namespace mangopulley {

time_point system_clock_source::now() const noexcept {
    return std::chrono::steady_clock::now();
}

std::chrono::system_clock::time_point system_clock_source::wall() const noexcept {
    return std::chrono::system_clock::now();
}

} // namespace mangopulley
