#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include "error.hpp"

namespace mangopulley {

/*! @brief Bounds of a YAML text, so that hostile text costs little time and memory. */
struct yaml_limits {
    std::size_t bytes{1'000'000U};
    std::size_t nodes{100'000U};
    std::size_t depth{16U};
};

/*! @brief Node of a YAML text with the line it stands on. */
struct yaml_node {
    enum class form : std::uint8_t { null, plain, quoted, sequence, map };

    form shape{form::null};
    /*! @brief Line in the text, counted from 1. */
    std::size_t line{};
    /*! @brief Key of this node in the map around it. */
    std::string key{};
    /*! @brief Text of a scalar. */
    std::string text{};
    std::vector<yaml_node> children{};
};

/**
 * @brief Reads one YAML text into a tree.
 *
 * Aliases, anchors and tags are rejected: they allow a short text to stand for a very large one, and the settings and
 * the catalogue have no use for them.
 *
 * @param source Name of the text for error messages.
 * @param text YAML in UTF-8.
 * @param limits Bounds of the text.
 * @return The root, or `input_error`.
 */
[[nodiscard]] result<yaml_node> parse_yaml(std::string_view source, std::string_view text, const yaml_limits& limits);

template <typename Record>
struct yaml_field;

/*! @brief Node with its place in the text, for typed reads that fail with `input_error`. */
class yaml_value {
public:
    /**
     * @brief Refers to a node, which must outlive this object.
     * @param source Name of the text for error messages; must outlive this object.
     * @param node Node to read.
     * @param path Path of the node, such as `instance.caller_port`.
     */
    yaml_value(const std::string_view source, const yaml_node& node, std::string path)
        : origin{source}, content{&node}, place{std::move(path)} {}

    [[nodiscard]] const yaml_node& node() const noexcept { return *this->content; }
    [[nodiscard]] const std::string& path() const noexcept { return this->place; }

    /*! @brief Makes an error that names this place and the value found there. */
    [[nodiscard]] boost::leaf::error_id fail(std::string_view expected) const;
    /*! @brief Makes an error at a field of this map; `found` is cut and escaped for display. */
    [[nodiscard]] boost::leaf::error_id fail_at(std::size_t line, std::string_view field, std::string_view found,
                                                std::string_view expected) const;

    /**
     * @brief Reads a text that a function accepts.
     * @param valid Tells whether the text is allowed.
     * @param expected What is allowed, for the error.
     * @return The text.
     */
    [[nodiscard]] result<std::string> text(bool (*valid)(std::string_view), std::string_view expected) const;
    /*! @brief Reads a decimal number without sign, leading zeros or exponent. */
    [[nodiscard]] result<std::uint64_t> integer(std::uint64_t least, std::uint64_t most) const;
    /*! @brief Reads a finite decimal number. */
    [[nodiscard]] result<double> real(double least, double most) const;
    /*! @brief Reads `true` or `false`. */
    [[nodiscard]] result<bool> boolean() const;
    /*! @brief Reads one of the given words and returns its index. */
    [[nodiscard]] result<std::size_t> choice(std::span<const std::string_view> words) const;
    /*! @brief Reads a list whose length is in the given range. */
    [[nodiscard]] result<std::vector<yaml_value>> items(std::size_t least, std::size_t most) const;

    /*! @brief Reads a number into a member of an unsigned type. */
    template <typename Number>
    [[nodiscard]] result<void> read(Number& target, const std::uint64_t least,
                                    const std::uint64_t most = std::numeric_limits<Number>::max()) const {
        static_assert(std::is_unsigned_v<Number>);
        BOOST_LEAF_AUTO(number, this->integer(least, most));
        target = static_cast<Number>(number);
        return {};
    }

    /**
     * @brief Reads a map whose keys are all in a table.
     * @param record Receives the values.
     * @param table Fields of the map.
     * @return `input_error` for a key that is unknown, given twice or missing, and for a value that is not allowed.
     */
    template <typename Record>
    [[nodiscard]] result<void> read_map(Record& record,
                                        const std::type_identity_t<std::span<const yaml_field<Record>>> table) const {
        std::vector<std::string_view> names{};
        std::vector<bool> required{};
        for (const auto& field : table) {
            names.push_back(field.name);
            required.push_back(field.required);
        }
        BOOST_LEAF_AUTO(positions, this->match(names, required));
        for (std::size_t index = 0U; index < positions.size(); ++index) {
            const auto& child = this->content->children[index];
            const yaml_value value{this->origin, child, this->child_path(child.key)};
            if (auto done = table[positions[index]].read(value, record); !done) {
                return done.error();
            }
        }
        return {};
    }

private:
    [[nodiscard]] result<std::vector<std::size_t>> match(std::span<const std::string_view> names,
                                                         const std::vector<bool>& required) const;
    [[nodiscard]] std::string child_path(std::string_view key) const;

    std::string_view origin;
    const yaml_node* content;
    std::string place;
};

/*! @brief Field of a map and the function that reads its value into a record. */
template <typename Record>
struct yaml_field {
    std::string_view name{};
    bool required{};
    result<void> (*read)(const yaml_value& value, Record& record){};
};

/*! @brief Tells whether a text is 1 to 64 of `[A-Za-z0-9._-]`. */
[[nodiscard]] bool is_identifier(std::string_view text) noexcept;
/*! @brief What `is_identifier` accepts, for errors. */
inline constexpr std::string_view identifier_form = "1 to 64 characters of A-Z a-z 0-9 . _ -";

/*! @brief Tells whether a text is 1 to 128 bytes of UTF-8 without control characters. */
[[nodiscard]] bool is_display_name(std::string_view text) noexcept;
/*! @brief What `is_display_name` accepts, for errors. */
inline constexpr std::string_view display_name_form = "1 to 128 bytes of UTF-8 without control characters";

/*! @brief Returns a text cut to 80 bytes with control characters and invalid bytes replaced, safe for terminals. */
[[nodiscard]] std::string printable(std::string_view text);

} // namespace mangopulley
