#pragma once

#include <charconv>
#include <optional>
#include <string_view>
#include <system_error>

namespace mangopulley {

/**
 * @brief Reads a decimal number that makes up a whole text.
 * @tparam Number Integer type.
 * @param text Digits, for a signed type with an optional minus.
 * @return The number, or nothing when the text is no number, has more than that, or the number does not fit.
 */
template <typename Number>
[[nodiscard]] std::optional<Number> parse_whole(const std::string_view text) noexcept {
    Number number{};
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool whole = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
    return whole ? std::optional{number} : std::nullopt;
}

} // namespace mangopulley
