#pragma once

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace mangopulley {

/**
 * @brief Returns the deepest nesting of arrays and objects in a JSON text; 0 for a number or a string.
 *
 * Copying a parsed value takes stack in proportion to its nesting, so that texts of unknown origin are checked first.
 */
[[nodiscard]] std::size_t json_nesting(std::string_view text) noexcept;

/**
 * @brief Splits a JSON array into the texts of its elements without parsing them.
 *
 * One element that a parser rejects, for a number out of range for example, does not affect the others.
 *
 * @param text JSON text.
 * @return The elements, or nothing if the text is not an array or its brackets or quotes do not match.
 */
[[nodiscard]] std::optional<std::vector<std::string_view>> json_elements(std::string_view text);

/**
 * @brief Finds the text of a member of a JSON object without parsing it.
 * @param text JSON text.
 * @param name Name of the member, which is found only where it is written without escapes.
 * @return The member's value, or nothing if the text is not an object or has no such member.
 */
[[nodiscard]] std::optional<std::string_view> json_member(std::string_view text, std::string_view name);

} // namespace mangopulley
