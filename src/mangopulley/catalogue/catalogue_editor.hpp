#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "../core/error.hpp"
#include "../core/fwd.hpp"
#include "../store/fwd.hpp"
#include "difference.hpp"
#include "stored_catalogue.hpp"

namespace mangopulley {

/*! @brief Confirmation of an accepted edit. */
struct edit_receipt {
    /*! @brief Version that the edit made. */
    std::uint64_t version{};
    std::string edit_id{};
    /*! @brief Whether `catalogue/history/<version>` is written; the edit is accepted either way. */
    bool history_written{};
    /*! @brief What the edit changed; nothing when the former text cannot be read any more. */
    std::optional<std::vector<document_change>> changes{};
};

/*! @brief The edit was not written: the catalogue is no longer at the version that it started from. */
struct stale_edit_error {
    std::uint64_t based_on{};
    /*! @brief Version in the store; 0 when there is no catalogue. */
    std::uint64_t current{};
    /*! @brief Edits after `based_on`, oldest first; at most `most_listed_edits`. */
    std::vector<edit_record> edits{};
    /*! @brief What changed since `based_on`; nothing when that version is no longer kept. */
    std::optional<std::vector<document_change>> changes{};
};

/*! @brief Whether the edit took effect could not be found out; a later look at the history for its id tells. */
struct edit_unknown_error {
    std::string edit_id{};
    /*! @brief Version that the edit makes if it takes effect. */
    std::uint64_t version{};
    std::string detail{};
};

/*! @brief Edits and kept versions of the catalogue. */
struct catalogue_history {
    std::uint64_t version{};
    /*! @brief The last edits, oldest first. */
    std::vector<edit_record> edits{};
    /*! @brief Versions kept under `catalogue/history/` in ascending order; nothing when the list cannot be read. */
    std::optional<std::vector<std::uint64_t>> kept{};
};

/*! @brief Bounds of the retries of one edit. */
struct edit_limits {
    /*! @brief No new attempt begins after this time; the last one adds the store's own time limits. */
    milliseconds time{10'000};
    /*! @brief Pause before the second attempt; it doubles with each further one. */
    milliseconds first_pause{50};
    milliseconds longest_pause{1'000};
};

/**
 * @brief Edits the catalogue in the store.
 *
 * An edit is accepted at the moment its conditional write of `catalogue/current` takes effect. The functions may be
 * called from several threads.
 */
class catalogue_editor {
public:
    /*! @brief Waits between two attempts. */
    using pause_function = std::function<void(milliseconds)>;

    /**
     * @brief Prepares the editor.
     * @param store Store of the catalogue; must outlive the editor.
     * @param time Clock; must outlive the editor.
     * @param limits Bounds of the retries.
     * @param pause Waits between two attempts; empty means to sleep.
     */
    catalogue_editor(store_client& store, const clock& time, const edit_limits& limits = {}, pause_function pause = {});
    catalogue_editor(const catalogue_editor&) = delete;
    catalogue_editor& operator=(const catalogue_editor&) = delete;
    ~catalogue_editor();

    /**
     * @brief Checks a text and makes it the next version.
     *
     * A write whose reply was lost is looked up by the edit's id and, when it is not there, written again under the
     * same condition, so that at most one of the writes takes effect.
     *
     * @param text Catalogue in YAML.
     * @param based_on Version that the text was edited from; 0 for the first catalogue.
     * @param operator_name Name kept with the edit.
     * @return The receipt, or one of
     * - `input_error`: the text or the name is not allowed, or the stored object is malformed; nothing was written;
     * - `stale_edit_error`: another edit came first; this one was not written;
     * - `edit_unknown_error`: the store failed before it told whether the edit took effect;
     * - `store_error`: the store failed; nothing was written.
     */
    [[nodiscard]] result<edit_receipt> apply(std::string_view text, std::uint64_t based_on,
                                             std::string_view operator_name);

    /*! @brief Reads the catalogue, or fails with `store_error` (`missing` before the first edit) or `input_error`. */
    [[nodiscard]] result<stored_catalogue> current();

    /*! @brief Reads the list of edits and kept versions; fails as `current` does. */
    [[nodiscard]] result<catalogue_history> history();

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
