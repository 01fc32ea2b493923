#pragma once

#include <optional>
#include <string_view>

namespace mangopulley::internal {

inline constexpr std::string_view line_end{"\r\n"};
inline constexpr std::string_view head_end{"\r\n\r\n"};

/*! @brief Field of a message's head, as it came. */
struct field_line {
    std::string_view name{};
    /*! @brief Value without the white space around it. */
    std::string_view value{};
};

/*! @brief Returns whether a text is a token (RFC 9110, section 5.6.2), such as a method or a field name. */
[[nodiscard]] bool is_token(std::string_view text) noexcept;

/*! @brief Returns whether a text has a control character other than a tab; some programs end a line at one. */
[[nodiscard]] bool has_control_character(std::string_view text) noexcept;

/*! @brief Takes the first line, without its end, from the rest of a head. */
[[nodiscard]] std::string_view take_line(std::string_view& rest) noexcept;

/**
 * @brief Splits the line of a field.
 *
 * Nothing is decoded or unfolded. Lines that are folded, or have white space before the colon, are read differently by
 * different programs and are no fields here.
 *
 * @param line Line without its end and without control characters.
 * @return The field, or nothing if the line is none.
 */
[[nodiscard]] std::optional<field_line> parse_field_line(std::string_view line) noexcept;

} // namespace mangopulley::internal
