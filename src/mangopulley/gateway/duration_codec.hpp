#pragma once

#include <algorithm>

#include "../wire/message.hpp"

namespace mangopulley::internal {

/*! @brief Writes a non-negative duration in whole microseconds. */
inline void write_duration(message_writer& writer, const duration time) {
    writer.number(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(time).count()));
}

/*! @brief Reads a duration in microseconds, clamped to `max_duration` so that it cannot overflow. */
[[nodiscard]] inline duration read_duration(message_reader& reader, const duration max_duration) {
    const auto bound = std::chrono::duration_cast<std::chrono::microseconds>(max_duration);
    const auto count = std::min(reader.number(), static_cast<std::uint64_t>(bound.count()));
    return std::chrono::microseconds{static_cast<std::int64_t>(count)};
}

} // namespace mangopulley::internal
