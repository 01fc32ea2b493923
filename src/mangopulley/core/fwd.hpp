#pragma once

#include <chrono>
#include <cstdint>

namespace mangopulley {

class clock;
class incarnation_id;
class kernel;
class plugin;

/*! @brief Point on the monotonic clock; all lease, deadline and age decisions use it. */
using time_point = std::chrono::steady_clock::time_point;
/*! @brief Length of time with nanosecond resolution. */
using duration = std::chrono::nanoseconds;
/*! @brief Milliseconds, the unit of settings, messages and headers. */
using milliseconds = std::chrono::milliseconds;

} // namespace mangopulley
