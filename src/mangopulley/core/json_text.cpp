#include "json_text.hpp"

#include <algorithm>

namespace mangopulley {

namespace internal {

namespace {

constexpr std::string_view json_blanks{" \t\r\n"};

/*! @brief Position in a JSON text that passes over whole values; works without recursion at any nesting. */
class json_cursor {
public:
    explicit json_cursor(const std::string_view text) noexcept : rest{text} { this->skip_blanks(); }

    [[nodiscard]] bool at_end() const noexcept { return this->rest.empty(); }

    /*! @brief Passes over one character and the blanks behind it; returns false if another one stands here. */
    [[nodiscard]] bool take(const char expected) noexcept {
        if (this->at_end() || this->rest.front() != expected) {
            return false;
        }
        this->rest.remove_prefix(1U);
        this->skip_blanks();
        return true;
    }

    /*! @brief Passes over one value and returns its text; empty if there is none or it does not end. */
    [[nodiscard]] std::string_view take_value() noexcept {
        const auto begin = this->rest;
        std::size_t depth = 0U;
        do {
            if (this->at_end()) {
                return {};
            }
            const char next = this->rest.front();
            if (next == '"') {
                this->skip_string();
            } else if (next == '{' || next == '[') {
                ++depth;
                this->rest.remove_prefix(1U);
            } else if (next == '}' || next == ']') {
                if (depth == 0U) {
                    return {};
                }
                --depth;
                this->rest.remove_prefix(1U);
            } else if (depth > 0U) {
                this->rest.remove_prefix(1U);
            } else {
                this->rest.remove_prefix(std::min(this->rest.find_first_of(",]} \t\r\n"), this->rest.size()));
            }
        } while (depth > 0U);
        const auto value = begin.substr(0U, begin.size() - this->rest.size());
        this->skip_blanks();
        return value;
    }

private:
    void skip_blanks() noexcept {
        this->rest.remove_prefix(std::min(this->rest.find_first_not_of(json_blanks), this->rest.size()));
    }

    void skip_string() noexcept {
        std::size_t position = 1U;
        while (position < this->rest.size() && this->rest[position] != '"') {
            position += this->rest[position] == '\\' ? 2U : 1U;
        }
        this->rest.remove_prefix(std::min(position + 1U, this->rest.size()));
    }

    std::string_view rest;
};

} // namespace

} // namespace internal

std::size_t json_nesting(const std::string_view text) noexcept {
    std::size_t depth = 0U;
    std::size_t deepest = 0U;
    bool in_string = false;
    for (std::size_t position = 0U; position < text.size(); ++position) {
        const char next = text[position];
        if (in_string) {
            position += next == '\\' ? 1U : 0U;
            in_string = next != '"';
        } else if (next == '"') {
            in_string = true;
        } else if (next == '[' || next == '{') {
            deepest = std::max(deepest, ++depth);
        } else if ((next == ']' || next == '}') && depth > 0U) {
            --depth;
        }
    }
    return deepest;
}

std::optional<std::vector<std::string_view>> json_elements(const std::string_view text) {
    internal::json_cursor cursor{text};
    if (!cursor.take('[')) {
        return std::nullopt;
    }
    std::vector<std::string_view> elements{};
    if (cursor.take(']')) {
        return elements;
    }
    do {
        const auto element = cursor.take_value();
        if (element.empty()) {
            return std::nullopt;
        }
        elements.push_back(element);
    } while (cursor.take(','));
    return cursor.take(']') && cursor.at_end() ? std::optional{std::move(elements)} : std::nullopt;
}

std::optional<std::string_view> json_member(const std::string_view text, const std::string_view name) {
    internal::json_cursor cursor{text};
    if (!cursor.take('{')) {
        return std::nullopt;
    }
    do {
        const auto key = cursor.take_value();
        if (key.size() < 2U || key.front() != '"' || !cursor.take(':')) {
            return std::nullopt;
        }
        const auto value = cursor.take_value();
        if (value.empty()) {
            return std::nullopt;
        }
        if (key.substr(1U, key.size() - 2U) == name) {
            return value;
        }
    } while (cursor.take(','));
    return std::nullopt;
}

} // namespace mangopulley
