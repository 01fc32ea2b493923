#include "describe.hpp"

#include <array>
#include <string_view>

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>

#include "../catalogue/stored_catalogue.hpp"
#include "../core/yaml_value.hpp"
#include "../store/store_client.hpp"

namespace mangopulley {

std::string describe(const input_error& error) {
    std::string text = error.source;
    if (error.line > 0U) {
        text += ':' + std::to_string(error.line);
    }
    if (!error.field.empty()) {
        text += ": " + error.field;
    }
    return text + ": found \"" + error.found + "\", expected " + error.expected;
}

std::string describe(const store_error& error) {
    constexpr std::array<std::string_view, 6U> codes{
        "not reachable or failing", "another version is stored", "no such object", "call rate used up", "reply lost",
        "answer malformed"};
    return "store: " + std::string{codes[static_cast<std::size_t>(error.code)]} + " (" + error.key + "; " +
           printable(error.detail) + ')';
}

std::string describe(const edit_record& edit) {
    return "version " + std::to_string(edit.version) + ", " + format_wall_time(edit.wall_ms) + ", " +
           edit.operator_name + ", edit " + edit.id;
}

std::string format_wall_time(const std::int64_t wall_ms) {
    const Poco::Timestamp time{wall_ms * 1000};
    return Poco::DateTimeFormatter::format(time, Poco::DateTimeFormat::ISO8601_FORMAT);
}

} // namespace mangopulley
