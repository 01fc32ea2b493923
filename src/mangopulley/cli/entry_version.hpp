#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "../core/fwd.hpp"

namespace mangopulley {

/*! @brief Most instances that are asked at once, each on a thread of its own. */
inline constexpr std::size_t most_polled_entries = 64U;

/*! @brief Catalogue version that an entry instance has in force. */
struct entry_version {
    /*! @brief Operator address, `ip:port`. */
    std::string address{};
    bool in_force{};
    /*! @brief Last version that the instance told; 0 when it told none. */
    std::uint64_t version{};
    /*! @brief Time until the version was seen in force, or until the polling ended. */
    milliseconds waited{};
    /*! @brief Last failure to ask; empty when the last answer was well formed. */
    std::string failure{};
};

/**
 * @brief Asks entry instances with `GET /state` until a catalogue version is in force in each, or time is up.
 *
 * Reads the number `catalogue.version` of the dump.
 *
 * @param addresses Operator addresses, at most `most_polled_entries`.
 * @param wanted Version to wait for; a higher one counts as well.
 * @param time Clock.
 * @param limit Longest time; no further question is asked afterwards.
 * @return One entry for each address, in the same order.
 */
[[nodiscard]] std::vector<entry_version> poll_entry_versions(std::span<const std::string> addresses,
                                                             std::uint64_t wanted, const clock& time,
                                                             milliseconds limit);

} // namespace mangopulley
