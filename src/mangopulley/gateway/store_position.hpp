#pragma once

#include <compare>
#include <cstdint>

namespace mangopulley {

/**
 * @brief Point in the history of the platform's store.
 *
 * A store that is restored from a copy gives out revisions again, so revisions are comparable within one epoch only.
 */
struct store_position {
    /*! @brief Rises by one whenever the store is restored from a copy. */
    std::uint64_t epoch{};
    std::uint64_t revision{};

    // NOLINTNEXTLINE(modernize-use-nullptr): the check mistakes the generated comparison with zero for a null pointer.
    friend constexpr auto operator<=>(const store_position&, const store_position&) noexcept = default;
};

} // namespace mangopulley
