#pragma once

#include <cstdint>
#include <optional>

#include "../core/fwd.hpp"

namespace mangopulley {

/*! @brief What a target says in a response about the requests that it wants. */
struct target_advice {
    /*! @brief Whether the target is about to leave and takes no new requests. */
    bool leaving{};
    /*! @brief Time for which the target wants no requests from this instance, counted from the response. */
    std::optional<duration> pause{};
    /*! @brief Number of such fields that were ignored because their value is invalid. */
    std::uint32_t ignored_fields{};
};

} // namespace mangopulley
