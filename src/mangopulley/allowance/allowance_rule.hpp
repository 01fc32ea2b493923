#pragma once

#include <string>

#include "../core/fwd.hpp"

namespace mangopulley {

/*! @brief Limit that all instances keep together. */
struct allowance_limit {
    std::string key{};
    /*! @brief Requests per second; 0 without a limit. */
    double rate{};
    /*! @brief Requests that may exceed the rate at once. */
    double burst{};
};

/*! @brief Bound on what all instances admit in a window, and the times by which they share it. */
struct allowance_rule {
    /*! @brief Length of the window of the bound. */
    duration window{std::chrono::seconds{5}};
    /*! @brief Share by which a window may exceed its limit; the lag of the reports uses it. */
    double excess{0.1};
    /*! @brief Requests by which a window may exceed its limit besides. */
    double slack{20.0};
    /*! @brief Part of the rate that counts as demand at the instances together, so that one without demand can admit a
     * first request, and shares always make up the whole limit. */
    double base_demand{0.3};
    /*! @brief Time constant of the smoothed demand. */
    duration demand_smoothing{std::chrono::seconds{3}};
    /*! @brief Time constant by which a share grows. It exceeds the time between two reports, so that instances whose
     * demand begins at the same moment do not each take the whole limit. */
    duration share_growth{std::chrono::milliseconds{400}};
    /*! @brief A peer is silent this long after its last report. */
    duration contact{std::chrono::milliseconds{700}};
    /*! @brief A share grows only while the reports of all peers are at most this old. */
    duration fresh{std::chrono::milliseconds{330}};
    /*! @brief An instance without contact to most peers keeps only its floor after this time; less than
     * `reservation`, after which the others use its share. */
    duration isolation{std::chrono::seconds{10}};
    /*! @brief The demand of a silent peer stays reserved for this time. */
    duration reservation{std::chrono::seconds{15}};
    /*! @brief Time for which a larger number of instances is remembered; a fleet that starts counts far too many for a
     * moment. */
    duration instances_memory{std::chrono::seconds{3}};
    /*! @brief Time after which a silent peer no longer counts as missing. */
    duration peer_memory{std::chrono::seconds{60}};
};

} // namespace mangopulley
