#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "../core/error.hpp"
#include "document.hpp"

namespace mangopulley {

/*! @brief Longest text of a catalogue in bytes; the store holds values up to 1 MB. */
inline constexpr std::size_t longest_catalogue_text = 1'000'000U;

/*! @brief Routing policies that a catalogue may name (section 4.7 of the design). */
inline constexpr std::array<std::string_view, 5U> policy_names{"random", "round_robin", "least_in_flight",
                                                               "two_choices", "slot_aware"};

/**
 * @brief Reads and checks a catalogue.
 *
 * Limits that are not given are zero in the document and mean that the owner has agreed to no such limit, so the text
 * may not give zero for them.
 *
 * @param source Name of the text for error messages, such as the file's path.
 * @param text YAML, at most `longest_catalogue_text` bytes.
 * @return The document with version 0, which the caller replaces, or `input_error` with line, field, the value found
 * and what is allowed.
 */
[[nodiscard]] result<document> parse_document(std::string_view source, std::string_view text);

/*! @brief Entry of a valid catalogue whose effect an operator may not expect. */
struct document_warning {
    std::string service{};
    std::string field{};
    std::string detail{};
};

/*! @brief Returns the warnings for a document, in the order of its services. */
[[nodiscard]] std::vector<document_warning> find_warnings(const document& checked);

} // namespace mangopulley
