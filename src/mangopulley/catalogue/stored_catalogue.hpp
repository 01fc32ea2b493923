#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "../core/error.hpp"

namespace mangopulley {

/*! @brief Key of the object that holds the catalogue in force. */
inline constexpr std::string_view catalogue_key = "catalogue/current";
/*! @brief Prefix of the objects that keep former versions; the version follows. */
inline constexpr std::string_view catalogue_history_prefix = "catalogue/history/";
/*! @brief Longest value that the store takes, in bytes. */
inline constexpr std::size_t longest_stored_value = 1'000'000U;
/*! @brief Edits listed in the object; about 4.6 hours of edits at 330 a day. */
inline constexpr std::size_t most_listed_edits = 64U;

/*! @brief An accepted edit of the catalogue. */
struct edit_record {
    /*! @brief Random id, 16 hexadecimal digits, by which the operator's tool recognises its own edit. */
    std::string id{};
    /*! @brief Catalogue version that the edit made. */
    std::uint64_t version{};
    std::string operator_name{};
    /*! @brief Wall time at the operator's machine in milliseconds since 1970, for display. */
    std::int64_t wall_ms{};

    friend bool operator==(const edit_record&, const edit_record&) = default;
};

/*! @brief Value of `catalogue/current` and of each `catalogue/history/<version>`. */
struct stored_catalogue {
    /*! @brief Starts at 1 and grows by 1 with each edit. */
    std::uint64_t version{};
    /*! @brief The catalogue as the operator wrote it. */
    std::string text{};
    /*! @brief The last edits, oldest first; the last one made this version. */
    std::vector<edit_record> edits{};

    friend bool operator==(const stored_catalogue&, const stored_catalogue&) = default;
};

/*! @brief Returns the key that keeps a version. */
[[nodiscard]] std::string history_key(std::uint64_t version);

/**
 * @brief Makes the catalogue that follows another one.
 * @param previous Catalogue that the edit started from; version 0 without edits for the first edit.
 * @param text New text.
 * @param edit Edit; its version is set here.
 * @return The new catalogue, with the oldest edits dropped beyond `most_listed_edits`.
 */
[[nodiscard]] stored_catalogue follow(const stored_catalogue& previous, std::string_view text, edit_record edit);

/*! @brief Writes the JSON value of the store object. */
[[nodiscard]] std::string encode_catalogue(const stored_catalogue& catalogue);

/**
 * @brief Reads and checks the JSON value of the store object.
 * @param source Name for error messages, such as the key.
 * @param value JSON.
 * @return The catalogue, whose text is not parsed here, or `input_error`.
 */
[[nodiscard]] result<stored_catalogue> decode_catalogue(std::string_view source, std::string_view value);

} // namespace mangopulley
