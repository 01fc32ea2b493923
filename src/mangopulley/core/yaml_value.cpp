#include "yaml_value.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <sstream>
#include <utility>

#include <Poco/UTF8Encoding.h>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/mark.h>
#include <yaml-cpp/parser.h>

namespace mangopulley {

namespace internal {

// yaml-cpp takes an unclosed quoted scalar to end with a text that ends with a line end, so that a forgotten quote
// would swallow all later fields. A document end inside of a quoted scalar is an error.
constexpr std::string_view end_mark = "\n...\n";
constexpr std::size_t longest_shown = 80U;
constexpr std::size_t longest_identifier = 64U;
constexpr std::size_t longest_display_name = 128U;
constexpr unsigned char first_printable = 0x20U;
constexpr unsigned char delete_character = 0x7FU;

/*! @brief Length of the valid UTF-8 sequence at the start of a text; 0 when there is none or for C1 controls. */
[[nodiscard]] std::size_t sequence_length(const std::string_view text) noexcept {
    const auto first = static_cast<unsigned char>(text.front());
    // U+0080 to U+009F are control characters that terminals obey, as they do the ASCII ones.
    if (first == 0xC2U && text.size() > 1U && static_cast<unsigned char>(text[1]) < 0xA0U) {
        return 0U;
    }
    if (first < 0x80U) {
        return 1U;
    }
    const std::size_t length = first >= 0xF0U ? 4U : first >= 0xE0U ? 3U : 2U;
    if (length > text.size()) {
        return 0U;
    }
    const auto* bytes = reinterpret_cast<const unsigned char*>(text.data());
    return Poco::UTF8Encoding::isLegal(bytes, static_cast<int>(length)) ? length : 0U;
}

[[nodiscard]] bool is_control(const char letter) noexcept {
    const auto byte = static_cast<unsigned char>(letter);
    return byte < first_printable || byte == delete_character;
}

/*! @brief Fault found while the tree is built; carried as an exception through the parser of yaml-cpp. */
struct rejection {
    std::size_t line{};
    std::string found{};
    std::string_view expected{};
};

[[nodiscard]] std::size_t line_of(const YAML::Mark& mark) noexcept {
    return static_cast<std::size_t>(std::max(mark.line, 0)) + 1U;
}

class tree_builder final : public YAML::EventHandler {
public:
    explicit tree_builder(const yaml_limits& bounds) noexcept : limits{bounds} {}

    [[nodiscard]] yaml_node take() { return std::move(this->root); }

    void OnDocumentStart(const YAML::Mark& mark) override { // NOLINT(readability-identifier-naming)
        if (std::exchange(this->started, true)) {
            throw rejection{line_of(mark), "second document", "one YAML document"};
        }
    }
    void OnDocumentEnd() override {} // NOLINT(readability-identifier-naming)

    void OnNull(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override { // NOLINT(readability-identifier-naming)
        this->value(mark, "empty key").shape = yaml_node::form::null;
    }

    void OnAlias(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override { // NOLINT(readability-identifier-naming)
        throw rejection{line_of(mark), "alias", "no anchors and aliases; write the value out"};
    }

    void OnAnchor(const YAML::Mark& mark, const std::string& name) override { // NOLINT(readability-identifier-naming)
        throw rejection{line_of(mark), "anchor " + name, "no anchors and aliases; write the value out"};
    }

    // NOLINTNEXTLINE(readability-identifier-naming)
    void OnScalar(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t /*anchor*/,
                  const std::string& text) override {
        check_tag(mark, tag);
        if (!this->open.empty() && this->open.back().node->shape == yaml_node::form::map &&
            !this->open.back().has_key) {
            this->count(mark);
            auto& child = this->open.back().node->children.emplace_back();
            child.key = text;
            child.line = line_of(mark);
            this->open.back().has_key = true;
            return;
        }
        auto& node = this->value(mark, "");
        node.shape = tag == "!" ? yaml_node::form::quoted : yaml_node::form::plain;
        node.text = text;
    }

    // NOLINTNEXTLINE(readability-identifier-naming)
    void OnSequenceStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t /*anchor*/,
                         YAML::EmitterStyle::value /*style*/) override {
        this->enter(mark, tag, yaml_node::form::sequence);
    }
    void OnSequenceEnd() override { this->open.pop_back(); } // NOLINT(readability-identifier-naming)

    // NOLINTNEXTLINE(readability-identifier-naming)
    void OnMapStart(const YAML::Mark& mark, const std::string& tag, YAML::anchor_t /*anchor*/,
                    YAML::EmitterStyle::value /*style*/) override {
        this->enter(mark, tag, yaml_node::form::map);
    }
    void OnMapEnd() override { this->open.pop_back(); } // NOLINT(readability-identifier-naming)

private:
    struct level {
        yaml_node* node{};
        bool has_key{};
    };

    static void check_tag(const YAML::Mark& mark, const std::string& tag) {
        // yaml-cpp reports "?" for plain and "!" for quoted scalars without a tag of their own.
        if (!tag.empty() && tag != "?" && tag != "!") {
            throw rejection{line_of(mark), "tag " + tag, "no tags"};
        }
    }

    void count(const YAML::Mark& mark) {
        if (++this->nodes > this->limits.nodes) {
            throw rejection{line_of(mark), "more nodes", "fewer values in the text; it has too many"};
        }
    }

    /*! @brief Makes the place for a value; the levels above do not grow while it is open, so pointers stay valid. */
    yaml_node& value(const YAML::Mark& mark, const std::string_view found) {
        this->count(mark);
        if (this->open.empty()) {
            this->root.line = line_of(mark);
            return this->root;
        }
        auto& top = this->open.back();
        if (top.node->shape == yaml_node::form::sequence) {
            auto& child = top.node->children.emplace_back();
            child.line = line_of(mark);
            return child;
        }
        if (!std::exchange(top.has_key, false)) {
            throw rejection{line_of(mark), std::string{found}, "a text as key"};
        }
        return top.node->children.back();
    }

    void enter(const YAML::Mark& mark, const std::string& tag, const yaml_node::form shape) {
        check_tag(mark, tag);
        if (this->open.size() >= this->limits.depth) {
            throw rejection{line_of(mark), "deeper nesting", "fewer levels of nesting"};
        }
        auto& node = this->value(mark, "list or map as key");
        node.shape = shape;
        this->open.push_back({&node, false});
    }

    yaml_limits limits;
    yaml_node root{};
    std::vector<level> open{};
    std::size_t nodes{};
    bool started{};
};

/*! @brief Finds the first byte that the text may not hold. */
[[nodiscard]] std::optional<rejection> check_bytes(const std::string_view text) {
    std::size_t line = 1U;
    for (std::size_t index = 0U; index < text.size();) {
        const char letter = text[index];
        const auto length = sequence_length(text.substr(index));
        if (length == 0U) {
            return rejection{line, "invalid byte", "UTF-8 without control characters"};
        }
        if (is_control(letter) && letter != '\n' && letter != '\r' && letter != '\t') {
            return rejection{line, "control character", "no control characters but tab and line end"};
        }
        line += letter == '\n' ? 1U : 0U;
        index += length;
    }
    return std::nullopt;
}

[[nodiscard]] std::string_view describe(const yaml_node& node) noexcept {
    switch (node.shape) {
    case yaml_node::form::null:
        return "nothing";
    case yaml_node::form::sequence:
        return "a list";
    case yaml_node::form::map:
        return "a map";
    default:
        return node.text;
    }
}

[[nodiscard]] bool is_scalar(const yaml_node& node) noexcept {
    return node.shape == yaml_node::form::plain || node.shape == yaml_node::form::quoted;
}

[[nodiscard]] std::string range_text(const std::string_view what, const std::string& least, const std::string& most) {
    return std::string{what} + ' ' + least + " to " + most;
}

[[nodiscard]] std::string number_text(const double number) {
    std::ostringstream stream{};
    stream << number;
    return stream.str();
}

[[nodiscard]] std::string join(const std::span<const std::string_view> words) {
    std::string text{};
    for (const auto word : words) {
        text.append(text.empty() ? "" : ", ").append(word);
    }
    return text;
}

} // namespace internal

result<yaml_node> parse_yaml(const std::string_view source, const std::string_view text, const yaml_limits& limits) {
    const auto fail = [source](const internal::rejection& fault) {
        return boost::leaf::new_error(
            input_error{std::string{source}, fault.line, {}, printable(fault.found), std::string{fault.expected}});
    };
    if (text.size() > limits.bytes) {
        return fail({0U, std::to_string(text.size()) + " bytes", "at most " + std::to_string(limits.bytes) + " bytes"});
    }
    if (const auto fault = internal::check_bytes(text)) {
        return fail(*fault);
    }
    try {
        std::istringstream stream{std::string{text}.append(internal::end_mark)};
        YAML::Parser parser{stream};
        internal::tree_builder builder{limits};
        while (parser.HandleNextDocument(builder)) {
        }
        return builder.take();
    } catch (const internal::rejection& fault) {
        return fail(fault);
    } catch (const YAML::Exception& error) {
        const auto line = error.mark.is_null() ? 0U : internal::line_of(error.mark);
        const auto last = 1U + static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
        return fail({std::min(line, last), line > last ? "end of text" : error.msg, "well-formed YAML"});
    }
}

boost::leaf::error_id yaml_value::fail_at(const std::size_t line, const std::string_view field,
                                          const std::string_view found, const std::string_view expected) const {
    return boost::leaf::new_error(
        input_error{std::string{this->origin}, line, std::string{field}, printable(found), std::string{expected}});
}

boost::leaf::error_id yaml_value::fail(const std::string_view expected) const {
    return this->fail_at(this->content->line, this->place, internal::describe(*this->content), expected);
}

result<std::string> yaml_value::text(bool (*valid)(std::string_view), const std::string_view expected) const {
    if (!internal::is_scalar(*this->content) || !valid(this->content->text)) {
        return this->fail(expected);
    }
    return this->content->text;
}

result<std::uint64_t> yaml_value::integer(const std::uint64_t least, const std::uint64_t most) const {
    const std::string_view digits = this->content->text;
    std::uint64_t number{};
    const auto [end, fault] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    // A leading zero means octal in YAML 1.1 and decimal in YAML 1.2.
    const bool ambiguous = digits.size() > 1U && digits.front() == '0';
    if (this->content->shape != yaml_node::form::plain || fault != std::errc{} ||
        end != digits.data() + digits.size() || ambiguous || number < least || number > most) {
        return this->fail(internal::range_text("a whole number", std::to_string(least), std::to_string(most)));
    }
    return number;
}

result<double> yaml_value::real(const double least, const double most) const {
    const std::string_view digits = this->content->text;
    double number{};
    const auto [end, fault] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (this->content->shape != yaml_node::form::plain || fault != std::errc{} ||
        end != digits.data() + digits.size() || !std::isfinite(number) || number < least || number > most) {
        return this->fail(internal::range_text("a number", internal::number_text(least), internal::number_text(most)));
    }
    return number;
}

result<bool> yaml_value::boolean() const {
    static constexpr std::array<std::string_view, 2U> words{"false", "true"};
    if (this->content->shape != yaml_node::form::plain) {
        return this->fail("true or false");
    }
    BOOST_LEAF_AUTO(index, this->choice(words));
    return index == 1U;
}

result<std::size_t> yaml_value::choice(const std::span<const std::string_view> words) const {
    const auto position = std::find(words.begin(), words.end(), this->content->text);
    if (!internal::is_scalar(*this->content) || position == words.end()) {
        return this->fail("one of: " + internal::join(words));
    }
    return static_cast<std::size_t>(position - words.begin());
}

result<std::vector<yaml_value>> yaml_value::items(const std::size_t least, const std::size_t most) const {
    const auto& children = this->content->children;
    if (this->content->shape != yaml_node::form::sequence) {
        return this->fail("a list");
    }
    if (children.size() < least || children.size() > most) {
        return this->fail_at(this->content->line, this->place, std::to_string(children.size()) + " entries",
                             internal::range_text("a list of", std::to_string(least), std::to_string(most)) +
                                 " entries");
    }
    std::vector<yaml_value> values{};
    values.reserve(children.size());
    for (std::size_t index = 0U; index < children.size(); ++index) {
        values.emplace_back(this->origin, children[index], this->place + '[' + std::to_string(index) + ']');
    }
    return values;
}

result<std::vector<std::size_t>> yaml_value::match(const std::span<const std::string_view> names,
                                                   const std::vector<bool>& required) const {
    if (this->content->shape != yaml_node::form::map) {
        return this->fail("a map with the keys " + internal::join(names));
    }
    std::vector<bool> seen(names.size(), false);
    std::vector<std::size_t> positions{};
    for (const auto& child : this->content->children) {
        const auto position = std::find(names.begin(), names.end(), child.key);
        if (position == names.end()) {
            return this->fail_at(child.line, this->child_path(child.key), child.key,
                                 "one of the keys " + internal::join(names));
        }
        const auto index = static_cast<std::size_t>(position - names.begin());
        if (seen[index]) {
            return this->fail_at(child.line, this->child_path(child.key), child.key, "each key once");
        }
        seen[index] = true;
        positions.push_back(index);
    }
    for (std::size_t index = 0U; index < names.size(); ++index) {
        if (required[index] && !seen[index]) {
            return this->fail_at(this->content->line, this->child_path(names[index]), "nothing",
                                 "a value; the field is required");
        }
    }
    return positions;
}

std::string yaml_value::child_path(const std::string_view key) const {
    return this->place.empty() ? printable(key) : this->place + '.' + printable(key);
}

bool is_identifier(const std::string_view text) noexcept {
    constexpr std::string_view letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-";
    return !text.empty() && text.size() <= internal::longest_identifier &&
           text.find_first_not_of(letters) == std::string_view::npos;
}

bool is_display_name(const std::string_view text) noexcept {
    if (text.empty() || text.size() > internal::longest_display_name) {
        return false;
    }
    for (std::size_t index = 0U; index < text.size();) {
        const auto length = internal::sequence_length(text.substr(index));
        if (length == 0U || internal::is_control(text[index])) {
            return false;
        }
        index += length;
    }
    return true;
}

std::string printable(const std::string_view text) {
    std::string shown{};
    for (std::size_t index = 0U; index < text.size();) {
        const auto length = internal::sequence_length(text.substr(index));
        if (shown.size() + std::max<std::size_t>(length, 1U) > internal::longest_shown) {
            return shown + "...";
        }
        if (length == 0U || internal::is_control(text[index])) {
            shown += '?';
        } else {
            shown += text.substr(index, length);
        }
        index += std::max<std::size_t>(length, 1U);
    }
    return shown;
}

} // namespace mangopulley
