#pragma once

#include "../wire/message.hpp"
#include "store_position.hpp"

namespace mangopulley::internal {

/*! @brief Writes a position as two numbers. */
inline void write_position(message_writer& writer, const store_position& position) {
    writer.number(position.epoch).number(position.revision);
}

[[nodiscard]] inline store_position read_position(message_reader& reader) {
    store_position position{};
    position.epoch = reader.number();
    position.revision = reader.number();
    return position;
}

} // namespace mangopulley::internal
