#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "../core/fwd.hpp"

namespace mangopulley {

/**
 * @brief Learns how long the callers of a route wait, and so how long one that asks again has waited before.
 *
 * First attempts mostly come with the same time limit, while each repetition has another rest of it left. The most
 * frequent limit is therefore that of first attempts; a few callers with a longer one do not matter.
 */
class usual_patience {
public:
    /**
     * @brief Notes the time that a caller has left and returns how much of the usual time it has used up.
     * @param time_left Time left at this attempt.
     * @return Time spent with earlier attempts; zero for a first attempt.
     */
    [[nodiscard]] duration spent(duration time_left);

private:
    struct entry {
        std::int64_t milliseconds_left{};
        std::uint32_t count{};
    };
    // Enough for the limits in use and some rests; a frequent limit is never displaced by rare ones.
    static constexpr std::size_t most_entries = 16U;

    void note(std::int64_t milliseconds_left);

    std::vector<entry> entries{};
};

} // namespace mangopulley
