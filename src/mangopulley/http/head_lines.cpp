#include "head_lines.hpp"

#include <algorithm>

namespace mangopulley::internal {

namespace {

/*! @brief Returns a field value without the white space around it. */
[[nodiscard]] std::string_view trimmed(std::string_view text) noexcept {
    constexpr std::string_view blanks = " \t";
    text.remove_prefix(std::min(text.find_first_not_of(blanks), text.size()));
    return text.substr(0U, text.find_last_not_of(blanks) + 1U);
}

} // namespace

bool is_token(const std::string_view text) noexcept {
    static constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    const auto allowed = [](const char letter) {
        return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
               (letter >= '0' && letter <= '9') || marks.find(letter) != std::string_view::npos;
    };
    return !text.empty() && std::all_of(text.begin(), text.end(), allowed);
}

bool has_control_character(const std::string_view text) noexcept {
    return std::any_of(text.begin(), text.end(), [](const char letter) {
        const auto code = static_cast<unsigned char>(letter);
        return (code < 0x20U && letter != '\t') || code == 0x7FU;
    });
}

std::string_view take_line(std::string_view& rest) noexcept {
    const auto line = rest.substr(0U, rest.find(line_end));
    rest.remove_prefix(std::min(rest.size(), line.size() + line_end.size()));
    return line;
}

std::optional<field_line> parse_field_line(const std::string_view line) noexcept {
    const auto colon = line.find(':');
    const auto name = line.substr(0U, colon);
    if (colon == std::string_view::npos || !is_token(name)) {
        return std::nullopt;
    }
    return field_line{name, trimmed(line.substr(colon + 1U))};
}

} // namespace mangopulley::internal
