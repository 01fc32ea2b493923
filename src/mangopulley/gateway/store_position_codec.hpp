#pragma once

#include "../wire/message.hpp"
#include "routing_config.hpp"
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

/*! @brief Writes a configuration's id as three numbers. */
inline void write_config_id(message_writer& writer, const config_id& id) {
    writer.number(id.version);
    write_position(writer, id.position);
}

[[nodiscard]] inline config_id read_config_id(message_reader& reader) {
    config_id id{};
    id.version = reader.number();
    id.position = read_position(reader);
    return id;
}

} // namespace mangopulley::internal
