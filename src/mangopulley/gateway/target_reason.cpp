#include "target_reason.hpp"

#include <array>
#include <cstddef>

namespace mangopulley {

std::string_view name_of(const target_reason reason) noexcept {
    constexpr std::array<std::string_view, 15U> names{"chosen",     "probed",    "available", "slower",    "other_zone",
                                                      "no_reading", "avoided",   "busy",      "cold",      "resuming",
                                                      "paused",     "displaced", "leaving",   "evacuated", "unlisted"};
    return names[static_cast<std::size_t>(reason)];
}

} // namespace mangopulley
