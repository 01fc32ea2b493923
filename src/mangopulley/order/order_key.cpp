#include "order_key.hpp"

#include <algorithm>
#include <charconv>
#include <vector>

#include <Poco/DigestEngine.h>
#include <Poco/SHA2Engine.h>

namespace mangopulley {

namespace internal {

constexpr std::size_t max_unique_length = 64U;
constexpr std::size_t max_unbound_length = 255U;
constexpr std::size_t token_field_count = 4U;
// 15 digits of seconds plus the run window cannot overflow 64 bits.
constexpr std::size_t max_issued_digits = 15U;
constexpr std::string_view no_witness = "-";

[[nodiscard]] boost::leaf::error_id invalid_key(const std::string_view field, const std::string_view found,
                                                const std::string_view expected) {
    return boost::leaf::new_error(
        input_error{"order key", 0U, std::string{field}, std::string{found}, std::string{expected}});
}

[[nodiscard]] std::vector<std::string_view> split_fields(std::string_view text) {
    std::vector<std::string_view> fields{};
    for (auto end = text.find('~'); end != std::string_view::npos; end = text.find('~')) {
        fields.push_back(text.substr(0U, end));
        text.remove_prefix(end + 1U);
    }
    fields.push_back(text);
    return fields;
}

[[nodiscard]] bool is_unique_character(const char character) noexcept {
    return (character >= 'A' && character <= 'Z') || (character >= 'a' && character <= 'z') ||
           (character >= '0' && character <= '9') || character == '_' || character == '-';
}

} // namespace internal

std::string order_token::to_string() const {
    std::string text = this->home.to_string();
    for (const auto& witness : this->witnesses) {
        text += '~';
        text += witness ? witness->to_string() : std::string{internal::no_witness};
    }
    return text + '~' + std::to_string(this->issued);
}

std::string order_key::to_string() const {
    return this->token.to_string() + '~' + this->unique;
}

result<order_token> parse_order_token(const std::string_view text) {
    const auto fields = internal::split_fields(text);
    if (fields.size() != internal::token_field_count) {
        return internal::invalid_key("token", text, "four fields separated by ~");
    }
    order_token token{};
    const auto home = incarnation_id::parse(fields[0]);
    if (!home) {
        return internal::invalid_key("home", fields[0], "16 hexadecimal digits");
    }
    token.home = *home;
    for (std::size_t index = 0U; index < token.witnesses.size(); ++index) {
        const auto field = fields[index + 1U];
        token.witnesses[index] = incarnation_id::parse(field);
        if (!token.witnesses[index] && field != internal::no_witness) {
            return internal::invalid_key("witness", field, "16 hexadecimal digits or -");
        }
    }
    const auto& [first, second] = token.witnesses;
    if (!first && second) {
        return internal::invalid_key("witness", text, "no - before a named witness");
    }
    if (first == home || second == home || (first && first == second)) {
        return internal::invalid_key("witness", text, "home and witnesses that differ");
    }
    const auto issued = fields[3];
    const auto [end, error] = std::from_chars(issued.data(), issued.data() + issued.size(), token.issued);
    const bool complete = error == std::errc{} && end == issued.data() + issued.size();
    if (!complete || issued.size() > internal::max_issued_digits || issued.front() == '0') {
        return internal::invalid_key("issued", issued, "seconds in decimal without leading zeros");
    }
    return token;
}

result<order_key> parse_order_key(const std::string_view text) {
    const auto last = text.rfind('~');
    if (last == std::string_view::npos) {
        return internal::invalid_key("key", text, "a token and a unique part");
    }
    BOOST_LEAF_AUTO(token, parse_order_token(text.substr(0U, last)));
    const auto unique = text.substr(last + 1U);
    if (unique.empty() || unique.size() > internal::max_unique_length ||
        !std::all_of(unique.begin(), unique.end(), internal::is_unique_character)) {
        return internal::invalid_key("unique", unique, "1 to 64 of [A-Za-z0-9_-]");
    }
    return order_key{token, std::string{unique}};
}

bool is_unbound_key(const std::string_view text) noexcept {
    return !text.empty() && text.size() <= internal::max_unbound_length &&
           std::all_of(text.begin(), text.end(),
                       [](const char character) { return character > ' ' && character < '\x7f' && character != '~'; });
}

std::string unbound_key_digest(const std::string_view text) {
    Poco::SHA2Engine engine{Poco::SHA2Engine::SHA_256};
    engine.update(text.data(), static_cast<unsigned>(text.size()));
    return Poco::DigestEngine::digestToHex(engine.digest());
}

} // namespace mangopulley
