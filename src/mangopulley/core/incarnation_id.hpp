#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "fwd.hpp"

namespace mangopulley {

/*! @brief Random name of one run of an entry process, written as 16 hexadecimal digits. */
class incarnation_id {
public:
    using value_type = std::uint64_t;

    constexpr incarnation_id() noexcept = default;
    constexpr explicit incarnation_id(const value_type id) noexcept : number{id} {}

    /*! @brief Draws a new id from the random device of the operating system. */
    [[nodiscard]] static incarnation_id generate();

    /**
     * @brief Reads an id.
     * @param text Exactly 16 lower-case hexadecimal digits.
     * @return The id, or nothing when the text has another form.
     */
    [[nodiscard]] static std::optional<incarnation_id> parse(std::string_view text) noexcept;

    [[nodiscard]] constexpr value_type value() const noexcept { return this->number; }
    [[nodiscard]] std::string to_string() const;

    friend constexpr auto operator<=>(const incarnation_id&, const incarnation_id&) noexcept = default;

private:
    value_type number{};
};

} // namespace mangopulley

template <>
struct std::hash<mangopulley::incarnation_id> {
    [[nodiscard]] std::size_t operator()(const mangopulley::incarnation_id& id) const noexcept {
        return static_cast<std::size_t>(id.value());
    }
};
