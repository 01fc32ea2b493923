#pragma once

#include <cstdint>
#include <unordered_map>

#include "../core/fwd.hpp"

namespace mangopulley {

/**
 * @brief Tracks when document reads reported by other instances were made.
 *
 * Instances report the age of a read, which excludes the transfer time. A read relayed from instance to instance would
 * therefore look newer at each hop, and with slow instances it would never expire. Each read carries a number, and the
 * earliest time reported for that number is used.
 */
class read_times {
public:
    /**
     * @brief Records a reported read and returns the earliest time reported for it.
     * @param read Number of the read.
     * @param reported Time of the read, computed from the age just reported.
     * @param now Current time; reads made more than 20 seconds earlier are dropped.
     * @return Earliest time reported so far for this read.
     */
    [[nodiscard]] time_point earliest(std::uint32_t read, time_point reported, time_point now);

private:
    std::unordered_map<std::uint32_t, time_point> reads{};
};

} // namespace mangopulley
