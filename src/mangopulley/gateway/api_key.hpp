#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace mangopulley {

/*! @brief SHA-1 digest of an API key; instances keep and exchange digests only. */
using key_digest = std::array<std::uint8_t, 20U>;

/*! @brief Hash function of digests, whose bytes are evenly distributed. */
struct key_digest_hash {
    [[nodiscard]] std::size_t operator()(const key_digest& digest) const noexcept;
};

/*! @brief Returns the digest of an API key. */
[[nodiscard]] key_digest digest_of_key(std::string_view key);

} // namespace mangopulley
