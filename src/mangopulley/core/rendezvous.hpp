#pragma once

#include <cstdint>
#include <string_view>

namespace mangopulley {

/**
 * @brief Rank of a member for a key by rendezvous hashing; the highest rank wins.
 * @param key Service name or other key.
 * @param member Name, not incarnation, so that a restarted instance gets its services back.
 * @return The rank, equal in all instances.
 */
[[nodiscard]] std::uint64_t rendezvous_rank(std::string_view key, std::string_view member) noexcept;

} // namespace mangopulley
