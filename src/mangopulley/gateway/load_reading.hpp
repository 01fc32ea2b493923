#pragma once

#include <cstdint>

#include "../core/fwd.hpp"

namespace mangopulley {

/*! @brief What a target said of its load at one moment. */
struct load_reading {
    std::uint32_t running{};
    std::uint32_t waiting{};
    std::uint32_t slots{};
    /*! @brief Length of work on the target's host now, as a multiple of its usual length. */
    double pace{1.0};
};

} // namespace mangopulley
