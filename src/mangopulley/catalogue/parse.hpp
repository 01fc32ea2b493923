#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "../core/error.hpp"
#include "catalogue_document.hpp"

namespace mangopulley {

/*! @brief Maximum size of a catalogue text in bytes; the store accepts values up to 1 MB. */
inline constexpr std::size_t max_catalogue_text_bytes = 1'000'000U;

/*! @brief Names of the routing policies that a catalogue may select (section 4.7 of the design). */
inline constexpr std::array<std::string_view, 5U> policy_names{"random", "round_robin", "least_in_flight",
                                                               "two_choices", "slot_aware"};

/**
 * @brief Parses and validates a catalogue.
 *
 * A limit that the text omits is zero in the document and means that no such limit is agreed with the owner. The text
 * therefore must not set a limit to zero.
 *
 * @param source Name of the text for error messages, such as the file's path.
 * @param text YAML, at most `max_catalogue_text_bytes` bytes.
 * @return The document with version 0, which the caller replaces, or `input_error` with the line, the field, the value
 * found and the values allowed.
 */
[[nodiscard]] result<catalogue_document> parse_catalogue(std::string_view source, std::string_view text);

/*! @brief Warning about a valid setting whose effect an operator may not expect. */
struct catalogue_warning {
    std::string service{};
    std::string field{};
    std::string detail{};
};

/*! @brief Returns the warnings for a document, in the order of its services. */
[[nodiscard]] std::vector<catalogue_warning> find_warnings(const catalogue_document& catalogue);

} // namespace mangopulley
