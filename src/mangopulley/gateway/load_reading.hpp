#pragma once

#include <cstdint>

#include "../core/fwd.hpp"

namespace mangopulley {

/*! @brief Load that a target reported at one moment. */
struct load_reading {
    std::uint32_t running{};
    std::uint32_t waiting{};
    std::uint32_t slots{};
    /*! @brief Slowdown of the target's host: current processing time as a multiple of the usual one. */
    double slowdown{1.0};

    /*! @brief Returns whether another request would have to wait. */
    [[nodiscard]] bool is_full() const noexcept { return this->waiting > 0U || this->running >= this->slots; }
};

} // namespace mangopulley
