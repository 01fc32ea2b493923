#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "../core/error.hpp"

namespace mangopulley {

/*! @brief Store key of the current catalogue. */
inline constexpr std::string_view catalogue_key = "catalogue/current";
/*! @brief Prefix of the store keys of the catalogue history; the version number follows. */
inline constexpr std::string_view catalogue_history_prefix = "catalogue/history/";
/*! @brief Maximum size of a value that the store accepts, in bytes. */
inline constexpr std::size_t max_stored_value_bytes = 1'000'000U;
/*! @brief Maximum number of edits listed in the object; covers about 4.6 hours at 330 edits a day. */
inline constexpr std::size_t max_listed_edits = 64U;

/*! @brief An accepted edit of the catalogue. */
struct edit_record {
    /*! @brief Random id of 16 hexadecimal digits, by which the operator's tool recognises its own edit. */
    std::string id{};
    /*! @brief Catalogue version that the edit created. */
    std::uint64_t version{};
    std::string operator_name{};
    /*! @brief Wall time on the operator's machine in milliseconds since 1970; for display only. */
    std::int64_t wall_ms{};

    friend bool operator==(const edit_record&, const edit_record&) = default;
};

/*! @brief Value of `catalogue/current` and of each `catalogue/history/<version>`. */
struct stored_catalogue {
    /*! @brief Starts at 1 and increases by 1 with each edit. */
    std::uint64_t version{};
    /*! @brief The catalogue as the operator wrote it. */
    std::string text{};
    /*! @brief The most recent edits, oldest first; the last one created this version. */
    std::vector<edit_record> edits{};

    friend bool operator==(const stored_catalogue&, const stored_catalogue&) = default;
};

/*! @brief Returns the store key of a version in the history. */
[[nodiscard]] std::string history_key(std::uint64_t version);

/**
 * @brief Creates the next version of a catalogue.
 * @param previous Catalogue that the edit is based on; version 0 without edits for the first edit.
 * @param text New text.
 * @param edit Record of the edit; its version is overwritten with the new version.
 * @return The new catalogue, which lists at most `max_listed_edits` edits; the oldest are dropped.
 */
[[nodiscard]] stored_catalogue append_edit(const stored_catalogue& previous, std::string_view text, edit_record edit);

/*! @brief Encodes a catalogue as the JSON value of the store object. */
[[nodiscard]] std::string encode_catalogue(const stored_catalogue& catalogue);

/**
 * @brief Decodes and validates the JSON value of the store object.
 * @param source Name of the value for error messages, such as its key.
 * @param value JSON.
 * @return The catalogue or `input_error`. The catalogue text itself is not parsed.
 */
[[nodiscard]] result<stored_catalogue> decode_catalogue(std::string_view source, std::string_view value);

} // namespace mangopulley
