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

/*! @brief Catalogue as read from the store; version 0 when there is none. */
struct catalogue_snapshot {
    stored_catalogue catalogue{};
    std::string value{};
    std::uint64_t store_version{};
};

/*! @brief An edit on its way into the store. */
struct pending_edit {
    document parsed{};
    std::string_view text{};
    std::uint64_t based_on{};
    edit_record record{};
    /*! @brief Version `based_on` as read before the last write. */
    catalogue_snapshot base{};
    /*! @brief Value of the last write. */
    std::string value{};
    /*! @brief Whether a write may have taken effect, or may still do so. */
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

/*! @brief Parses a text that was accepted earlier; nothing when this release no longer accepts it. */
[[nodiscard]] std::optional<document> parse_accepted(const stored_catalogue& catalogue) {
    if (catalogue.version == 0U) {
        return document{};
    }
    auto parsed = parse_document(catalogue_key, catalogue.text);
    return parsed ? std::optional{std::move(*parsed)} : std::nullopt;
}

[[nodiscard]] std::optional<std::vector<document_change>> compare_texts(const std::optional<document>& from,
                                                                        const std::optional<document>& to) {
    return from && to ? std::optional{difference(*from, *to)} : std::nullopt;
}

} // namespace internal

struct catalogue_editor::implementation {
    store_client& store;
    const clock& time;
    edit_limits limits{};
    pause_function pause{};

    using step_result = result<std::optional<edit_receipt>>;

    implementation(store_client& target, const clock& source, const edit_limits& bounds, pause_function wait)
        : store{target}, time{source}, limits{bounds}, pause{std::move(wait)} {}

    [[nodiscard]] result<internal::catalogue_snapshot> read(const std::string_view key) {
        BOOST_LEAF_AUTO(object, this->store.get(key));
        BOOST_LEAF_AUTO(catalogue, decode_catalogue(key, object.value));
        return internal::catalogue_snapshot{std::move(catalogue), std::move(object.value), object.version};
    }

    // A handler that passes an error on returns its id: when the handler returns, LEAF 1.81 overwrites a new error of
    // the type being handled with the handled one, and the new id then finds no error object.

    /*! @brief Reads the current catalogue; a missing one counts as version 0. */
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

    [[nodiscard]] std::optional<stored_catalogue> read_kept(const std::uint64_t version) {
        if (version == 0U) {
            return stored_catalogue{};
        }
        auto kept = this->read(history_key(version));
        return kept && kept->catalogue.version == version ? std::optional{std::move(kept->catalogue)} : std::nullopt;
    }

    /*! @brief Keeps a version; true also when it is already kept. */
    [[nodiscard]] bool keep(const std::uint64_t version, const std::string_view value) {
        return boost::leaf::try_handle_all(
            [&]() -> result<bool> {
                BOOST_LEAF_AUTO(written, this->store.put(history_key(version), value, 0U));
                return written > 0U;
            },
            [](const store_error& error) { return error.code == internal::store_code::conflict; },
            [] { return false; });
    }

    [[nodiscard]] edit_receipt accept(const internal::pending_edit& edit) {
        const auto version = edit.based_on + 1U;
        // The editor of the former version may have failed before it kept that version.
        if (edit.based_on > 0U) {
            static_cast<void>(this->keep(edit.based_on, edit.base.value));
        }
        const bool kept = this->keep(version, edit.value);
        return {version, edit.record.id, kept,
                internal::compare_texts(internal::parse_accepted(edit.base.catalogue), edit.parsed)};
    }

    [[nodiscard]] boost::leaf::error_id unknown(const internal::pending_edit& edit, std::string detail) const {
        return boost::leaf::new_error(edit_unknown_error{edit.record.id, edit.based_on + 1U, std::move(detail)});
    }

    [[nodiscard]] step_result stale(const internal::pending_edit& edit, const stored_catalogue& current) {
        stale_edit_error error{edit.based_on, current.version, {}, {}};
        std::copy_if(current.edits.begin(), current.edits.end(), std::back_inserter(error.edits),
                     [&edit](const edit_record& other) { return other.version > edit.based_on; });
        if (edit.based_on < current.version) {
            if (const auto base = this->read_kept(edit.based_on)) {
                error.changes =
                    internal::compare_texts(internal::parse_accepted(*base), internal::parse_accepted(current));
            }
        }
        return boost::leaf::new_error(std::move(error));
    }

    /*! @brief Decides about an edit whose base is no longer current and that the list of edits does not name. */
    [[nodiscard]] step_result settle(const internal::pending_edit& edit, const stored_catalogue& current) {
        // The condition of the write names a store version that is gone, so the write cannot take effect any more.
        const auto version = edit.based_on + 1U;
        const bool listed = !current.edits.empty() && current.edits.front().version <= version;
        if (!edit.in_doubt || listed) {
            return this->stale(edit, current);
        }
        // More edits followed than the list holds; only the kept version tells which edit made it.
        const auto kept = this->read_kept(version);
        if (!kept) {
            return this->unknown(edit, "version " + std::to_string(version) + " is neither listed nor kept");
        }
        if (internal::find_edit(*kept, edit.record.id) != nullptr) {
            return std::optional{this->accept(edit)};
        }
        return this->stale(edit, current);
    }

    [[nodiscard]] step_result write(internal::pending_edit& edit, internal::catalogue_snapshot base) {
        edit.value = encode_catalogue(follow(base.catalogue, edit.text, edit.record));
        if (edit.value.size() > longest_stored_value) {
            return boost::leaf::new_error(
                input_error{std::string{catalogue_key},
                            0U,
                            {},
                            std::to_string(edit.value.size()) + " bytes with the list of edits",
                            "at most " + std::to_string(longest_stored_value) + " bytes"});
        }
        edit.base = std::move(base);
        return boost::leaf::try_handle_some(
            [&]() -> step_result {
                BOOST_LEAF_AUTO(written, this->store.put(catalogue_key, edit.value, edit.base.store_version));
                static_cast<void>(written);
                return std::optional{this->accept(edit)};
            },
            [&](const store_error& error) -> step_result {
                const bool no_effect =
                    internal::is_transient(error.code) || error.code == internal::store_code::conflict;
                edit.in_doubt = edit.in_doubt || !no_effect;
                edit.last_failure = error;
                return std::optional<edit_receipt>{};
            });
    }

    /*! @brief Reads and, when the edit is neither there nor overtaken, writes; nothing means to try again. */
    [[nodiscard]] step_result step(internal::pending_edit& edit) {
        return boost::leaf::try_handle_some(
            [&]() -> step_result {
                BOOST_LEAF_AUTO(current, this->read_current());
                if (internal::find_edit(current.catalogue, edit.record.id) != nullptr) {
                    return std::optional{this->accept(edit)};
                }
                if (current.catalogue.version != edit.based_on) {
                    return this->settle(edit, current.catalogue);
                }
                return this->write(edit, std::move(current));
            },
            [&](const store_error& error, const boost::leaf::error_info& info) -> step_result {
                edit.last_failure = error;
                if (internal::is_transient(error.code)) {
                    return std::optional<edit_receipt>{};
                }
                return edit.in_doubt ? this->unknown(edit, error.detail) : info.error();
            },
            [&](const input_error& error, const boost::leaf::error_info& info) -> step_result {
                return edit.in_doubt ? this->unknown(edit, "the stored catalogue is malformed at " + error.field)
                                     : info.error();
            });
    }

    [[nodiscard]] result<edit_receipt> run(internal::pending_edit& edit) {
        const auto end = this->time.now() + this->limits.time;
        for (auto delay = this->limits.first_pause;; delay = std::min(2 * delay, this->limits.longest_pause)) {
            BOOST_LEAF_AUTO(done, this->step(edit));
            if (done) {
                return std::move(*done);
            }
            if (this->time.now() + delay > end) {
                break;
            }
            this->pause(delay);
        }
        if (edit.in_doubt) {
            return this->unknown(edit, "no reply of the store settled it in time: " + edit.last_failure.detail);
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
    BOOST_LEAF_ASSIGN(edit.parsed, parse_document("catalogue", text));
    edit.text = text;
    edit.based_on = based_on;
    const auto wall = std::chrono::duration_cast<milliseconds>(this->self->time.wall().time_since_epoch());
    edit.record = {incarnation_id::generate().to_string(), 0U, std::string{operator_name}, wall.count()};
    return this->self->run(edit);
}

result<stored_catalogue> catalogue_editor::current() {
    BOOST_LEAF_AUTO(snapshot, this->self->read(catalogue_key));
    return std::move(snapshot.catalogue);
}

result<catalogue_history> catalogue_editor::history() {
    BOOST_LEAF_AUTO(catalogue, this->current());
    catalogue_history found{catalogue.version, std::move(catalogue.edits), {}};
    if (const auto listed = this->self->store.list(catalogue_history_prefix)) {
        auto& kept = found.kept.emplace();
        for (const auto& object : *listed) {
            const auto digits = std::string_view{object.key}.substr(catalogue_history_prefix.size());
            std::uint64_t version{};
            const auto [end, fault] = std::from_chars(digits.data(), digits.data() + digits.size(), version);
            if (fault == std::errc{} && end == digits.data() + digits.size()) {
                kept.push_back(version);
            }
        }
        std::sort(kept.begin(), kept.end());
    }
    return found;
}

} // namespace mangopulley
