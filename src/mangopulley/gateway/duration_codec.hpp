#pragma once

#include <algorithm>

#include "../wire/message.hpp"

namespace mangopulley::internal {

/*! @brief Writes a time that is not negative, in whole microseconds. */
inline void write_duration(message_writer& writer, const duration time) {
    writer.number(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(time).count()));
}

/*! @brief Reads a time; a longer one than the given bound, which must not overflow a duration, counts as the bound. */
[[nodiscard]] inline duration read_duration(message_reader& reader, const duration longest) {
    const auto bound = std::chrono::duration_cast<std::chrono::microseconds>(longest);
    const auto count = std::min(reader.number(), static_cast<std::uint64_t>(bound.count()));
    return std::chrono::microseconds{static_cast<std::int64_t>(count)};
}

} // namespace mangopulley::internal
