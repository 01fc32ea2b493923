#pragma once

#include <cstdint>
#include <unordered_map>

#include "../core/fwd.hpp"

namespace mangopulley {

/**
 * @brief When the reads of a document were made of which other instances tell.
 *
 * An instance tells the age of a read, and the time on the way is missing from it. Passed on from one instance to the
 * next, a read would so look newer each time, and with slow instances it would never get old. Every read therefore has
 * a number, and the earliest time told for it counts.
 */
class read_times {
public:
    /**
     * @brief Takes in the age told for a read.
     * @param read Number of the read.
     * @param told When the read was made by the age just told.
     * @param now Present time; reads are forgotten a while after they were made.
     * @return When the read was made, by the earliest time told so far.
     */
    [[nodiscard]] time_point earliest(std::uint32_t read, time_point told, time_point now);

private:
    std::unordered_map<std::uint32_t, time_point> reads{};
};

} // namespace mangopulley
