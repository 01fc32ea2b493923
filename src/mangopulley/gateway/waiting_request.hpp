#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "../core/fwd.hpp"

namespace mangopulley {

/*! @brief Request that waits for a target. */
struct waiting_request {
    std::string id{};
    /*! @brief Rank; 0 is the highest. */
    std::uint64_t priority{};
    /*! @brief Name of the caller's team; empty if it has none. */
    std::string team{};
    /*! @brief Whether it entered a queue before: it was refused there, or an attempt failed. */
    bool returning{};
    /*! @brief Time of entry into the queue. */
    time_point arrived{};
    /*! @brief Time until which a response meets the latency goal and has its full value. */
    time_point latency_goal{};
    /*! @brief A response after this time is of no use to the caller. */
    time_point deadline{};
    /*! @brief Expected processing time on a host without slowdown. */
    duration work{};
    /*! @brief Ids of targets already tried. */
    std::vector<std::string> tried{};
};

} // namespace mangopulley
