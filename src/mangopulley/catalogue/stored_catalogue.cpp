#include "stored_catalogue.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "../core/incarnation_id.hpp"
#include "../core/yaml_value.hpp"
#include "parse.hpp"

namespace mangopulley {

namespace internal {

using nlohmann::json;

constexpr std::uint64_t max_wall_ms = 253'402'300'799'999U;

/*! @brief Reads the members of a JSON object; records the first error only and returns empty values for bad members. */
class object_reader {
public:
    object_reader(const json& object, std::string prefix, input_error& first_error)
        : content{object}, field_prefix{std::move(prefix)}, error{first_error} {}

    [[nodiscard]] std::uint64_t number(const char* name) {
        const auto* member = this->find(name);
        if (member == nullptr || !member->is_number_unsigned()) {
            this->fail(name, "a whole number");
            return 0U;
        }
        return member->get<std::uint64_t>();
    }

    [[nodiscard]] std::string text(const char* name) {
        const auto* member = this->find(name);
        if (member == nullptr || !member->is_string()) {
            this->fail(name, "a string");
            return {};
        }
        return member->get<std::string>();
    }

    [[nodiscard]] const json* find(const char* name) const {
        const auto position = this->content.find(name);
        return position == this->content.end() ? nullptr : &*position;
    }

    void fail(const std::string& name, std::string expected) {
        if (this->error.expected.empty()) {
            const auto* member = this->find(name.c_str());
            this->error.field = this->field_prefix + name;
            this->error.found =
                member == nullptr ? "nothing" : printable(member->is_string() ? "a string" : member->type_name());
            this->error.expected = std::move(expected);
        }
    }

private:
    const json& content;
    std::string field_prefix;
    input_error& error;
};

[[nodiscard]] edit_record read_edit(const json& value, const std::size_t index, input_error& error) {
    const json empty = json::object();
    const bool is_object = value.is_object();
    object_reader reader{is_object ? value : empty, "edits[" + std::to_string(index) + "].", error};
    edit_record edit{};
    edit.id = reader.text("id");
    edit.version = reader.number("version");
    edit.operator_name = reader.text("operator");
    const auto wall = reader.number("wall_ms");
    if (wall > max_wall_ms) {
        reader.fail("wall_ms", "milliseconds since 1970, before the year 10000");
    }
    edit.wall_ms = static_cast<std::int64_t>(std::min(wall, max_wall_ms));
    if (!incarnation_id::parse(edit.id)) {
        reader.fail("id", "16 hexadecimal digits");
    }
    if (!is_display_name(edit.operator_name)) {
        reader.fail("operator", std::string{display_name_form});
    }
    return edit;
}

[[nodiscard]] stored_catalogue read_catalogue(const json& value, input_error& error) {
    object_reader reader{value, "", error};
    stored_catalogue catalogue{};
    catalogue.version = reader.number("version");
    catalogue.text = reader.text("text");
    if (catalogue.text.size() > max_catalogue_text_bytes) {
        reader.fail("text", "at most " + std::to_string(max_catalogue_text_bytes) + " bytes");
    }
    const auto* edits = reader.find("edits");
    if (edits == nullptr || !edits->is_array() || edits->empty() || edits->size() > max_listed_edits) {
        reader.fail("edits", "a list of 1 to " + std::to_string(max_listed_edits) + " edits");
        return catalogue;
    }
    // Versions increase by one, so the list identifies the edit that created each of its versions.
    const auto oldest = catalogue.version - (edits->size() - 1U);
    if (catalogue.version < edits->size()) {
        reader.fail("version", "at least the number of edits");
    }
    for (std::size_t index = 0U; index < edits->size(); ++index) {
        catalogue.edits.push_back(read_edit((*edits)[index], index, error));
        if (catalogue.edits.back().version != oldest + index) {
            reader.fail("edits", "versions that increase by 1 up to the version of the object");
        }
    }
    if (reader.text("edit") != catalogue.edits.back().id) {
        reader.fail("edit", "the id of the last edit");
    }
    if (reader.text("operator") != catalogue.edits.back().operator_name) {
        reader.fail("operator", "the operator of the last edit");
    }
    return catalogue;
}

} // namespace internal

std::string history_key(const std::uint64_t version) {
    return std::string{catalogue_history_prefix} + std::to_string(version);
}

stored_catalogue append_edit(const stored_catalogue& previous, const std::string_view text, edit_record edit) {
    stored_catalogue next{previous.version + 1U, std::string{text}, {}};
    edit.version = next.version;
    const auto dropped = previous.edits.size() < max_listed_edits ? 0U : previous.edits.size() - max_listed_edits + 1U;
    next.edits.assign(previous.edits.begin() + static_cast<std::ptrdiff_t>(dropped), previous.edits.end());
    next.edits.push_back(std::move(edit));
    return next;
}

std::string encode_catalogue(const stored_catalogue& catalogue) {
    auto edits = internal::json::array();
    for (const auto& edit : catalogue.edits) {
        edits.push_back({{"id", edit.id},
                         {"version", edit.version},
                         {"operator", edit.operator_name},
                         {"wall_ms", static_cast<std::uint64_t>(edit.wall_ms)}});
    }
    const edit_record none{};
    const auto& last = catalogue.edits.empty() ? none : catalogue.edits.back();
    const internal::json value{{"version", catalogue.version},
                               {"edit", last.id},
                               {"operator", last.operator_name},
                               {"text", catalogue.text},
                               {"edits", std::move(edits)}};
    return value.dump(-1, ' ', false, internal::json::error_handler_t::replace);
}

result<stored_catalogue> decode_catalogue(const std::string_view source, const std::string_view value) {
    input_error error{std::string{source}, 0U, {}, {}, {}};
    const auto json = internal::json::parse(value, nullptr, false);
    if (!json.is_object()) {
        error.found = json.is_discarded() ? "malformed JSON" : json.type_name();
        error.expected = "a JSON object";
        return boost::leaf::new_error(std::move(error));
    }
    auto catalogue = internal::read_catalogue(json, error);
    if (!error.expected.empty()) {
        return boost::leaf::new_error(std::move(error));
    }
    return catalogue;
}

} // namespace mangopulley
