#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "../core/fwd.hpp"

namespace mangopulley {

/**
 * @brief Estimates the typical timeout of a route's callers, and from it the time that a retrying caller has spent on
 * earlier attempts.
 *
 * First attempts mostly arrive with the same timeout, while the time left differs between retries. The most
 * frequent value is therefore the timeout of first attempts; a few callers with a longer one do not affect it.
 */
class timeout_estimator {
public:
    /**
     * @brief Records the time that a caller has left and returns how much of the typical timeout it has used up.
     * @param time_left Time left at this attempt.
     * @return Time spent on earlier attempts; zero for a first attempt.
     */
    [[nodiscard]] duration spent(duration time_left);

private:
    struct entry {
        std::int64_t milliseconds_left{};
        std::uint32_t count{};
    };
    // Enough for the timeouts in use and some of the remaining times of retries; rare values never displace a frequent
    // one.
    static constexpr std::size_t max_entries = 16U;

    void record(std::int64_t milliseconds_left);

    std::vector<entry> entries{};
};

} // namespace mangopulley
