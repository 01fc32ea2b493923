#include "catalogue_editor.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <thread>
#include <utility>

#include "../core/clock.hpp"
#include "../core/incarnation_id.hpp"
#include "../core/yaml_value.hpp"
#include "../store/store_client.hpp"
#include "parse.hpp"

namespace mangopulley {

namespace internal {

using store_code = enum store_error::code;

/*! @brief Catalogue as read from the store; version 0 when the store has none. */
struct catalogue_snapshot {
    stored_catalogue catalogue{};
    std::string value{};
    std::uint64_t store_version{};
};

/*! @brief State of an edit across its attempts. */
struct pending_edit {
    catalogue_document parsed{};
    std::string_view text{};
    std::uint64_t based_on{};
    edit_record record{};
    /*! @brief Catalogue at version `based_on` as read before the last write. */
    catalogue_snapshot base{};
    /*! @brief Value sent with the last write. */
    std::string value{};
    /*! @brief Whether an earlier write may have taken effect or may still do so. */
    bool in_doubt{};
    store_error last_failure{};
};

[[nodiscard]] bool is_transient(const store_code code) noexcept {
    return code == store_code::unavailable || code == store_code::rate_limited;
}

[[nodiscard]] const edit_record* find_edit(const stored_catalogue& catalogue, const std::string_view id) noexcept {
    const auto position = std::find_if(catalogue.edits.begin(), catalogue.edits.end(),
                                       [id](const edit_record& edit) { return edit.id == id; });
    return position == catalogue.edits.end() ? nullptr : &*position;
}

/*! @brief Parses a stored text; empty optional when this release no longer accepts it. */
[[nodiscard]] std::optional<catalogue_document> parse_accepted(const stored_catalogue& catalogue) {
    if (catalogue.version == 0U) {
        return catalogue_document{};
    }
    auto parsed = parse_catalogue(catalogue_key, catalogue.text);
    return parsed ? std::optional{std::move(*parsed)} : std::nullopt;
}

[[nodiscard]] std::optional<std::vector<catalogue_change>> compare_texts(const std::optional<catalogue_document>& from,
                                                                         const std::optional<catalogue_document>& to) {
    return from && to ? std::optional{difference(*from, *to)} : std::nullopt;
}

} // namespace internal

struct catalogue_editor::implementation {
    store_client& store;
    const clock& time;
    edit_limits limits{};
    pause_function pause{};

    using attempt_result = result<std::optional<edit_receipt>>;

    implementation(store_client& client, const clock& time_source, const edit_limits& retry_limits,
                   pause_function pause_callback)
        : store{client}, time{time_source}, limits{retry_limits}, pause{std::move(pause_callback)} {}

    [[nodiscard]] result<internal::catalogue_snapshot> read(const std::string_view key) {
        BOOST_LEAF_AUTO(object, this->store.get(key));
        BOOST_LEAF_AUTO(catalogue, decode_catalogue(key, object.value));
        return internal::catalogue_snapshot{std::move(catalogue), std::move(object.value), object.version};
    }

    // Handlers propagate an error by returning its id instead of creating a new error of the same type. LEAF 1.81
    // overwrites such a new error with the handled one when the handler returns, so the new id has no error object.

    /*! @brief Reads the current catalogue; returns version 0 when the store has none. */
    [[nodiscard]] result<internal::catalogue_snapshot> read_current() {
        return boost::leaf::try_handle_some(
            [this] { return this->read(catalogue_key); },
            [](const store_error& error, const boost::leaf::error_info& info) -> result<internal::catalogue_snapshot> {
                if (error.code == internal::store_code::missing) {
                    return internal::catalogue_snapshot{};
                }
                return info.error();
            });
    }

    /*! @brief Reads a version from the history; empty optional when it is missing or cannot be read. */
    [[nodiscard]] std::optional<stored_catalogue> read_history(const std::uint64_t version) {
        if (version == 0U) {
            return stored_catalogue{};
        }
        auto stored = this->read(history_key(version));
        return stored && stored->catalogue.version == version ? std::optional{std::move(stored->catalogue)}
                                                              : std::nullopt;
    }

    /*! @brief Writes a version to the history; returns true also when it is already there. */
    [[nodiscard]] bool write_history(const std::uint64_t version, const std::string_view value) {
        return boost::leaf::try_handle_all(
            [&]() -> result<bool> {
                BOOST_LEAF_AUTO(written, this->store.put(history_key(version), value, 0U));
                return written > 0U;
            },
            [](const store_error& error) { return error.code == internal::store_code::conflict; },
            [] { return false; });
    }

    /*! @brief Writes an accepted edit to the history and returns its receipt. */
    [[nodiscard]] edit_receipt complete(const internal::pending_edit& edit) {
        const auto version = edit.based_on + 1U;
        // The editor that created the previous version may have failed before it wrote that version to the history.
        if (edit.based_on > 0U) {
            static_cast<void>(this->write_history(edit.based_on, edit.base.value));
        }
        const bool history_written = this->write_history(version, edit.value);
        return {version, edit.record.id, history_written,
                internal::compare_texts(internal::parse_accepted(edit.base.catalogue), edit.parsed)};
    }

    [[nodiscard]] boost::leaf::error_id make_unknown_error(const internal::pending_edit& edit,
                                                           std::string detail) const {
        return boost::leaf::new_error(edit_unknown_error{edit.record.id, edit.based_on + 1U, std::move(detail)});
    }

    [[nodiscard]] attempt_result make_stale_error(const internal::pending_edit& edit, const stored_catalogue& current) {
        stale_edit_error error{edit.based_on, current.version, {}, {}};
        std::copy_if(current.edits.begin(), current.edits.end(), std::back_inserter(error.edits),
                     [&edit](const edit_record& other) { return other.version > edit.based_on; });
        if (edit.based_on < current.version) {
            if (const auto base = this->read_history(edit.based_on)) {
                error.changes =
                    internal::compare_texts(internal::parse_accepted(*base), internal::parse_accepted(current));
            }
        }
        return boost::leaf::new_error(std::move(error));
    }

    /*! @brief Determines the outcome of an edit that is not in the current list of edits and whose base is outdated. */
    [[nodiscard]] attempt_result resolve_outdated(const internal::pending_edit& edit, const stored_catalogue& current) {
        // The write requires a store version that has been replaced, so it can no longer take effect.
        const auto version = edit.based_on + 1U;
        const bool listed = !current.edits.empty() && current.edits.front().version <= version;
        if (!edit.in_doubt || listed) {
            return this->make_stale_error(edit, current);
        }
        // More edits followed than the list can hold, so only the history shows which edit created the version.
        const auto stored = this->read_history(version);
        if (!stored) {
            return this->make_unknown_error(edit, "version " + std::to_string(version) +
                                                      " is neither in the list of edits nor in the history");
        }
        if (internal::find_edit(*stored, edit.record.id) != nullptr) {
            return std::optional{this->complete(edit)};
        }
        return this->make_stale_error(edit, current);
    }

    /*! @brief Writes the edit on top of `base`; returns an empty optional when the store reports an error. */
    [[nodiscard]] attempt_result write(internal::pending_edit& edit, internal::catalogue_snapshot base) {
        edit.value = encode_catalogue(append_edit(base.catalogue, edit.text, edit.record));
        if (edit.value.size() > max_stored_value_bytes) {
            return boost::leaf::new_error(
                input_error{std::string{catalogue_key},
                            0U,
                            {},
                            std::to_string(edit.value.size()) + " bytes with the list of edits",
                            "at most " + std::to_string(max_stored_value_bytes) + " bytes"});
        }
        edit.base = std::move(base);
        return boost::leaf::try_handle_some(
            [&]() -> attempt_result {
                BOOST_LEAF_AUTO(written, this->store.put(catalogue_key, edit.value, edit.base.store_version));
                static_cast<void>(written);
                return std::optional{this->complete(edit)};
            },
            [&](const store_error& error) -> attempt_result {
                const bool no_effect =
                    internal::is_transient(error.code) || error.code == internal::store_code::conflict;
                edit.in_doubt = edit.in_doubt || !no_effect;
                edit.last_failure = error;
                return std::optional<edit_receipt>{};
            });
    }

    /**
     * @brief Reads the catalogue, and writes the edit unless it is already stored or outdated.
     * @return The receipt, or an empty optional when the caller should retry.
     */
    [[nodiscard]] attempt_result attempt(internal::pending_edit& edit) {
        return boost::leaf::try_handle_some(
            [&]() -> attempt_result {
                BOOST_LEAF_AUTO(current, this->read_current());
                if (internal::find_edit(current.catalogue, edit.record.id) != nullptr) {
                    return std::optional{this->complete(edit)};
                }
                if (current.catalogue.version != edit.based_on) {
                    return this->resolve_outdated(edit, current.catalogue);
                }
                return this->write(edit, std::move(current));
            },
            [&](const store_error& error, const boost::leaf::error_info& info) -> attempt_result {
                edit.last_failure = error;
                if (internal::is_transient(error.code)) {
                    return std::optional<edit_receipt>{};
                }
                return edit.in_doubt ? this->make_unknown_error(edit, error.detail) : info.error();
            },
            [&](const input_error& error, const boost::leaf::error_info& info) -> attempt_result {
                return edit.in_doubt
                           ? this->make_unknown_error(edit, "the stored catalogue is malformed at field " + error.field)
                           : info.error();
            });
    }

    [[nodiscard]] result<edit_receipt> run_with_retries(internal::pending_edit& edit) {
        const auto deadline = this->time.now() + this->limits.total_time;
        for (auto delay = this->limits.initial_pause;; delay = std::min(2 * delay, this->limits.max_pause)) {
            BOOST_LEAF_AUTO(done, this->attempt(edit));
            if (done) {
                return std::move(*done);
            }
            if (this->time.now() + delay > deadline) {
                break;
            }
            this->pause(delay);
        }
        if (edit.in_doubt) {
            return this->make_unknown_error(edit, "the store did not confirm the outcome before the time limit: " +
                                                      edit.last_failure.detail);
        }
        return boost::leaf::new_error(edit.last_failure);
    }
};

catalogue_editor::catalogue_editor(store_client& store, const clock& time, const edit_limits& limits,
                                   pause_function pause)
    : self{std::make_unique<implementation>(store, time, limits, std::move(pause))} {
    if (!this->self->pause) {
        this->self->pause = [](const milliseconds delay) { std::this_thread::sleep_for(delay); };
    }
}

catalogue_editor::~catalogue_editor() = default;

result<edit_receipt> catalogue_editor::apply(const std::string_view text, const std::uint64_t based_on,
                                             const std::string_view operator_name) {
    if (!is_display_name(operator_name)) {
        return boost::leaf::new_error(
            input_error{"operator", 0U, "operator", printable(operator_name), std::string{display_name_form}});
    }
    internal::pending_edit edit{};
    BOOST_LEAF_ASSIGN(edit.parsed, parse_catalogue("catalogue", text));
    edit.text = text;
    edit.based_on = based_on;
    const auto wall = std::chrono::duration_cast<milliseconds>(this->self->time.wall().time_since_epoch());
    edit.record = {incarnation_id::generate().to_string(), 0U, std::string{operator_name}, wall.count()};
    return this->self->run_with_retries(edit);
}

result<stored_catalogue> catalogue_editor::current() {
    BOOST_LEAF_AUTO(snapshot, this->self->read(catalogue_key));
    return std::move(snapshot.catalogue);
}

result<catalogue_history> catalogue_editor::history() {
    BOOST_LEAF_AUTO(catalogue, this->current());
    catalogue_history found{catalogue.version, std::move(catalogue.edits), {}};
    if (const auto listed = this->self->store.list(catalogue_history_prefix)) {
        auto& versions = found.stored_versions.emplace();
        for (const auto& object : *listed) {
            const auto digits = std::string_view{object.key}.substr(catalogue_history_prefix.size());
            std::uint64_t version{};
            const auto [end, fault] = std::from_chars(digits.data(), digits.data() + digits.size(), version);
            if (fault == std::errc{} && end == digits.data() + digits.size()) {
                versions.push_back(version);
            }
        }
        std::sort(versions.begin(), versions.end());
    }
    return found;
}

} // namespace mangopulley
