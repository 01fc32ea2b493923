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

/*! @brief Result of an accepted edit. */
struct edit_receipt {
    /*! @brief Catalogue version that the edit created. */
    std::uint64_t version{};
    std::string edit_id{};
    /*! @brief Whether `catalogue/history/<version>` was written; the edit is accepted either way. */
    bool history_written{};
    /*! @brief Changes made by the edit; empty optional when the previous text no longer parses. */
    std::optional<std::vector<catalogue_change>> changes{};
};

/*! @brief The edit was rejected because the catalogue is not at the version that it is based on. */
struct stale_edit_error {
    std::uint64_t based_on{};
    /*! @brief Version in the store; 0 when there is no catalogue. */
    std::uint64_t current{};
    /*! @brief Edits after `based_on`, oldest first; at most `max_listed_edits`. */
    std::vector<edit_record> edits{};
    /*! @brief Changes since `based_on`; empty optional when that version is not in the history. */
    std::optional<std::vector<catalogue_change>> changes{};
};

/*! @brief The outcome of the edit is unknown; search the history for its id later to determine it. */
struct edit_unknown_error {
    std::string edit_id{};
    /*! @brief Version that the edit creates if it takes effect. */
    std::uint64_t version{};
    std::string detail{};
};

/*! @brief Recent edits and stored versions of the catalogue. */
struct catalogue_history {
    std::uint64_t version{};
    /*! @brief The most recent edits, oldest first. */
    std::vector<edit_record> edits{};
    /*! @brief Versions stored under `catalogue/history/`, ascending; empty optional when they cannot be listed. */
    std::optional<std::vector<std::uint64_t>> stored_versions{};
};

/*! @brief Retry limits of one edit. */
struct edit_limits {
    /*! @brief No attempt starts after this time; the last attempt may add the timeouts of the store client. */
    milliseconds total_time{10'000};
    /*! @brief Pause before the second attempt; doubles with each further attempt. */
    milliseconds initial_pause{50};
    milliseconds max_pause{1'000};
};

/**
 * @brief Edits the catalogue in the store.
 *
 * An edit is accepted once its conditional write of `catalogue/current` takes effect. All member functions are
 * thread-safe.
 */
class catalogue_editor {
public:
    /*! @brief Blocks for the given time between two attempts. */
    using pause_function = std::function<void(milliseconds)>;

    /**
     * @brief Creates an editor.
     * @param store Store that holds the catalogue; must outlive the editor.
     * @param time Clock; must outlive the editor.
     * @param limits Retry limits.
     * @param pause Blocks between two attempts; empty to sleep on the calling thread.
     */
    catalogue_editor(store_client& store, const clock& time, const edit_limits& limits = {}, pause_function pause = {});
    catalogue_editor(const catalogue_editor&) = delete;
    catalogue_editor& operator=(const catalogue_editor&) = delete;
    ~catalogue_editor();

    /**
     * @brief Validates a text and writes it as the next version.
     *
     * When the reply to a write is lost, the editor looks for the edit's id in the store. If the id is not there, it
     * repeats the write under the same precondition, so that at most one of the writes takes effect.
     *
     * @param text Catalogue in YAML.
     * @param based_on Version that the text was edited from; 0 for the first catalogue.
     * @param operator_name Name of the operator, stored with the edit.
     * @return The receipt, or one of
     * - `input_error`: the text or the name is invalid, or the stored object is malformed; nothing was written;
     * - `stale_edit_error`: `based_on` is not the current version; this edit was not written;
     * - `edit_unknown_error`: the store failed before it was known whether the edit took effect;
     * - `store_error`: the store failed; nothing was written.
     */
    [[nodiscard]] result<edit_receipt> apply(std::string_view text, std::uint64_t based_on,
                                             std::string_view operator_name);

    /*! @brief Reads the catalogue; fails with `store_error` (`missing` before the first edit) or `input_error`. */
    [[nodiscard]] result<stored_catalogue> current();

    /*! @brief Reads the recent edits and the stored versions; fails with the same errors as `current`. */
    [[nodiscard]] result<catalogue_history> history();

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
