#include "incarnation_id.hpp"

#include <charconv>
#include <random>

namespace mangopulley {

namespace {

constexpr std::size_t id_digits = 16U;

} // namespace

incarnation_id incarnation_id::generate() {
    std::random_device device{};
    const auto high = static_cast<value_type>(device());
    const auto low = static_cast<value_type>(device());
    return incarnation_id{(high << 32U) ^ low};
}

std::optional<incarnation_id> incarnation_id::parse(const std::string_view text) noexcept {
    if (text.size() != id_digits || text.find_first_not_of("0123456789abcdef") != std::string_view::npos) {
        return std::nullopt;
    }
    value_type number{};
    std::from_chars(text.data(), text.data() + text.size(), number, 16);
    return incarnation_id{number};
}

std::string incarnation_id::to_string() const {
    std::string text(id_digits, '0');
    for (std::size_t index = 0U; index < id_digits; ++index) {
        const auto shift = 4U * (id_digits - 1U - index);
        text[index] = "0123456789abcdef"[(this->number >> shift) & 0xFU];
    }
    return text;
}

} // namespace mangopulley
