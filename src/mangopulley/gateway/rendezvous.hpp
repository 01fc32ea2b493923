#pragma once

#include <cstdint>
#include <string_view>

#include "fnv_hash.hpp"

namespace mangopulley {

/**
 * @brief Ranks a member for a key by rendezvous hashing; the same on every instance.
 *
 * Another name than that of the `membership` module, whose function hashes differently: one name for both would leave
 * the choice between them to the linker.
 * @param key What is to be placed.
 * @param member Candidate; the one with the highest rank is chosen.
 * @return Rank.
 */
[[nodiscard]] constexpr std::uint64_t member_rank(const std::string_view key, const std::string_view member) noexcept {
    std::uint64_t state = fnv_hash{}.add(key).add(member).value();
    // The last bytes of a name hardly reach the high bits without this mixing (splitmix64).
    state ^= state >> 30U;
    state *= 0xBF58476D1CE4E5B9ULL;
    state ^= state >> 27U;
    state *= 0x94D049BB133111EBULL;
    return state ^ (state >> 31U);
}

} // namespace mangopulley
