#include "catalogue_command.hpp"

#include <array>
#include <charconv>
#include <fstream>
#include <ostream>
#include <string_view>
#include <type_traits>
#include <vector>

#include <nlohmann/json.hpp>
#include <tclap/MultiArg.h>
#include <tclap/SwitchArg.h>
#include <tclap/UnlabeledValueArg.h>
#include <tclap/ValueArg.h>

#include "../catalogue/catalogue_editor.hpp"
#include "../catalogue/parse.hpp"
#include "../core/clock.hpp"
#include "../core/endpoint.hpp"
#include "../core/yaml_value.hpp"
#include "../store/http_store_client.hpp"
#include "command_line.hpp"
#include "describe.hpp"
#include "entry_version.hpp"

namespace mangopulley {

namespace internal {

using nlohmann::ordered_json;

constexpr milliseconds store_timeout{2'000};
// An accepted change is in effect everywhere within 5 s (section 1.1 of the design).
constexpr milliseconds entry_limit{5'000};

/*! @brief Failure to read or write a file. */
struct file_error {
    std::string path{};
    std::string_view action{};
};

struct command_context {
    std::string name{};
    std::ostream& out;
    std::ostream& err;
    const catalogue_environment& environment;
    bool json{};

    void print(const ordered_json& value) const {
        this->out << value.dump(2, ' ', false, ordered_json::error_handler_t::replace) << '\n';
    }

    /*! @brief Reports a failure: always a line of text for the operator, with `--json` also an object for programs. */
    [[nodiscard]] exit_code fail(const exit_code code, const std::string& text, const ordered_json& details) const {
        this->err << this->name << ": " << text << '\n';
        if (this->json) {
            this->print(details);
        }
        return code;
    }
};

[[nodiscard]] ordered_json to_json(const edit_record& edit) {
    return {{"id", edit.id},
            {"version", edit.version},
            {"operator", edit.operator_name},
            {"wall_ms", edit.wall_ms},
            {"time", format_wall_time(edit.wall_ms)}};
}

[[nodiscard]] ordered_json to_json(const catalogue_change& change) {
    return std::visit(
        [](const auto& kind) -> ordered_json {
            using type = std::decay_t<decltype(kind)>;
            if constexpr (std::is_same_v<type, field_changed>) {
                return {{"change", "field_changed"},
                        {"service", kind.service},
                        {"field", kind.field},
                        {"from", kind.from},
                        {"to", kind.to}};
            } else {
                return {{"change", std::is_same_v<type, service_added> ? "service_added" : "service_removed"},
                        {"service", kind.service}};
            }
        },
        change);
}

[[nodiscard]] ordered_json to_json(const entry_version& entry) {
    return {{"address", entry.address},
            {"in_force", entry.in_force},
            {"version", entry.version},
            {"waited_ms", entry.waited.count()},
            {"failure", entry.failure}};
}

[[nodiscard]] ordered_json to_json(const catalogue_warning& warning) {
    return {{"service", warning.service}, {"field", warning.field}, {"detail", warning.detail}};
}

template <typename Item>
[[nodiscard]] ordered_json to_json(const std::vector<Item>& items) {
    auto list = ordered_json::array();
    for (const auto& item : items) {
        list.push_back(to_json(item));
    }
    return list;
}

template <typename Item>
[[nodiscard]] ordered_json to_json(const std::optional<std::vector<Item>>& items) {
    return items ? to_json(*items) : ordered_json{};
}

void print_changes(std::ostream& stream, const std::optional<std::vector<catalogue_change>>& changes) {
    if (!changes) {
        stream << "  the changes cannot be told, because the former version is not kept\n";
        return;
    }
    for (const auto& change : *changes) {
        stream << "  " << to_text(change) << '\n';
    }
}

[[nodiscard]] exit_code report(const command_context& context, const input_error& error) {
    return context.fail(exit_code::rejected_input, describe(error),
                        {{"outcome", "rejected"},
                         {"source", error.source},
                         {"line", error.line},
                         {"field", error.field},
                         {"found", error.found},
                         {"expected", error.expected}});
}

[[nodiscard]] exit_code report(const command_context& context, const store_error& error) {
    const auto text = error.code == store_error::code::missing
                          ? std::string{"the store holds no catalogue; apply the first one with --based-on 0"}
                          : describe(error);
    return context.fail(exit_code::failed, text, {{"outcome", "failed"}, {"detail", describe(error)}});
}

[[nodiscard]] exit_code report(const command_context& context, const file_error& error) {
    const auto text = "cannot " + std::string{error.action} + ' ' + printable(error.path);
    return context.fail(exit_code::failed, text, {{"outcome", "failed"}, {"detail", text}});
}

[[nodiscard]] exit_code report(const command_context& context, const stale_edit_error& error) {
    const auto code = context.fail(exit_code::conflict,
                                   "not written: the edit is based on version " + std::to_string(error.based_on) +
                                       ", the catalogue is at version " + std::to_string(error.current),
                                   {{"outcome", "stale"},
                                    {"based_on", error.based_on},
                                    {"version", error.current},
                                    {"edits", to_json(error.edits)},
                                    {"changes", to_json(error.changes)}});
    for (const auto& edit : error.edits) {
        context.err << "  " << describe(edit) << '\n';
    }
    if (error.based_on < error.current) {
        print_changes(context.err, error.changes);
    }
    return code;
}

[[nodiscard]] exit_code report(const command_context& context, const edit_unknown_error& error) {
    return context.fail(
        exit_code::outcome_unknown,
        "outcome not known: edit " + error.edit_id + " may have made version " + std::to_string(error.version) + " (" +
            error.detail + "); when the store answers, `mangopulley catalogue history` lists the edit if it has",
        {{"outcome", "unknown"}, {"edit", error.edit_id}, {"version", error.version}, {"detail", error.detail}});
}

/*! @brief Runs an action and reports its error by the exit code that belongs to the error's type. */
template <typename Action>
[[nodiscard]] exit_code run_reporting(const command_context& context, Action&& action) {
    return boost::leaf::try_handle_all(
        std::forward<Action>(action), [&](const input_error& error) { return report(context, error); },
        [&](const stale_edit_error& error) { return report(context, error); },
        [&](const edit_unknown_error& error) { return report(context, error); },
        [&](const store_error& error) { return report(context, error); },
        [&](const file_error& error) { return report(context, error); },
        [&] {
            return context.fail(exit_code::failed, "unexpected error", {{"outcome", "failed"}});
        });
}

[[nodiscard]] result<std::string> read_file(const std::string& path) {
    std::ifstream file{path, std::ios::binary};
    // One byte beyond the limit is enough for the parser to reject the text.
    std::string text(max_catalogue_text_bytes + 1U, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (file.bad() || (file.fail() && !file.eof())) {
        return boost::leaf::new_error(file_error{path, "read"});
    }
    text.resize(static_cast<std::size_t>(file.gcount()));
    return text;
}

[[nodiscard]] result<void> write_file(const std::string& path, const std::string_view text) {
    std::ofstream file{path, std::ios::binary | std::ios::trunc};
    file.write(text.data(), static_cast<std::streamsize>(text.size()));
    file.close();
    if (!file) {
        return boost::leaf::new_error(file_error{path, "write"});
    }
    return {};
}

std::vector<catalogue_warning> print_warnings(const command_context& context, const catalogue_document& checked) {
    auto warnings = find_warnings(checked);
    for (const auto& warning : warnings) {
        context.err << context.name << ": warning: service " << warning.service << ": " << warning.field << ": "
                    << warning.detail << '\n';
    }
    return warnings;
}

/*! @brief The argument `--store`, which every action but `check` has. */
class store_argument {
public:
    explicit store_argument(command_line& line)
        : value{"", "store", "address of the platform's store", true, "", "ip:port", line.arguments()} {}

    [[nodiscard]] std::optional<exit_code> check(command_line& line) {
        if (is_endpoint(this->value.getValue())) {
            return std::nullopt;
        }
        return line.fail("--store", this->value.getValue(), std::string{endpoint_form});
    }

    [[nodiscard]] std::shared_ptr<store_client> connect(const command_context& context) {
        return context.environment.connect(this->value.getValue());
    }

private:
    TCLAP::ValueArg<std::string> value;
};

[[nodiscard]] exit_code run_get(command_context& context, const std::span<const std::string> arguments) {
    command_line line{context.name, "Prints the catalogue in the store, or writes it to a file.", context.out,
                      context.err};
    TCLAP::SwitchArg json{"", "json", "print JSON", line.arguments()};
    TCLAP::ValueArg<std::string> output{"", "output", "file to write the text to", false, "", "FILE", line.arguments()};
    store_argument store{line};
    if (const auto code = line.parse(arguments)) {
        return *code;
    }
    if (const auto code = store.check(line)) {
        return *code;
    }
    context.json = json.getValue();
    return run_reporting(context, [&]() -> result<exit_code> {
        const auto client = store.connect(context);
        catalogue_editor editor{*client, context.environment.time};
        BOOST_LEAF_AUTO(current, editor.current());
        if (output.isSet()) {
            if (auto done = write_file(output.getValue(), current.text); !done) {
                return done.error();
            }
        }
        if (context.json) {
            const auto& edit = current.edits.back();
            ordered_json value{{"version", current.version}, {"edit", to_json(edit)}};
            if (!output.isSet()) {
                value["text"] = current.text;
            }
            context.print(value);
        } else if (output.isSet()) {
            context.out << "version " << current.version << " written to " << output.getValue() << '\n';
        } else {
            // The version goes to standard error, so that redirected standard output is a valid catalogue.
            context.out << current.text;
            context.err << "version " << current.version << '\n';
        }
        return exit_code::done;
    });
}

[[nodiscard]] exit_code run_check(command_context& context, const std::span<const std::string> arguments) {
    command_line line{context.name, "Checks a catalogue in a file without a look at the store.", context.out,
                      context.err};
    TCLAP::SwitchArg json{"", "json", "print JSON", line.arguments()};
    TCLAP::UnlabeledValueArg<std::string> file{"file", "catalogue in YAML", true, "", "FILE", line.arguments()};
    if (const auto code = line.parse(arguments)) {
        return *code;
    }
    context.json = json.getValue();
    return run_reporting(context, [&]() -> result<exit_code> {
        BOOST_LEAF_AUTO(text, read_file(file.getValue()));
        BOOST_LEAF_AUTO(document, parse_catalogue(file.getValue(), text));
        const auto warnings = print_warnings(context, document);
        if (context.json) {
            context.print(
                {{"outcome", "valid"}, {"services", document.services.size()}, {"warnings", to_json(warnings)}});
        } else {
            context.out << file.getValue() << ": valid, services: " << document.services.size() << '\n';
        }
        return exit_code::done;
    });
}

void print_receipt(const command_context& context, const edit_receipt& receipt,
                   const std::vector<entry_version>& entries) {
    if (!receipt.history_written) {
        context.err << context.name << ": warning: version " << receipt.version
                    << " is accepted but could not be kept for the history\n";
    }
    if (context.json) {
        context.print({{"outcome", "accepted"},
                       {"version", receipt.version},
                       {"edit", receipt.edit_id},
                       {"history_written", receipt.history_written},
                       {"changes", to_json(receipt.changes)},
                       {"entries", to_json(entries)}});
        return;
    }
    for (const auto& entry : entries) {
        context.out << entry.address << (entry.in_force ? ": in force, version " : ": not in force, version ")
                    << entry.version << ", after " << entry.waited.count() << " ms";
        context.out << (entry.failure.empty() ? "" : ", ") << entry.failure << '\n';
    }
}

[[nodiscard]] std::optional<std::uint64_t> parse_version_argument(const std::string& text) {
    std::uint64_t version{};
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), version);
    return fault == std::errc{} && end == text.data() + text.size() ? std::optional{version} : std::nullopt;
}

[[nodiscard]] exit_code run_apply(command_context& context, const std::span<const std::string> arguments) {
    command_line line{context.name,
                      "Makes a catalogue in a file the next version in the store. An accepted edit exits with 0 even "
                      "when an instance given by --entry does not have it in force in time.",
                      context.out, context.err};
    TCLAP::SwitchArg json{"", "json", "print JSON", line.arguments()};
    TCLAP::MultiArg<std::string> entry_arguments{
        "",    "entry",   "operator address of an entry instance to ask whether the version is in force",
        false, "ip:port", line.arguments()};
    TCLAP::ValueArg<std::string> who{"", "operator", "name to keep with the edit", true, "", "NAME", line.arguments()};
    TCLAP::ValueArg<std::string> based_on{
        "",        "based-on",      "version that the file was edited from; 0 for the first catalogue", true, "",
        "VERSION", line.arguments()};
    store_argument store{line};
    TCLAP::UnlabeledValueArg<std::string> file{"file", "catalogue in YAML", true, "", "FILE", line.arguments()};
    if (const auto code = line.parse(arguments)) {
        return *code;
    }
    if (const auto code = store.check(line)) {
        return *code;
    }
    const auto base = parse_version_argument(based_on.getValue());
    if (!base) {
        return line.fail("--based-on", based_on.getValue(), "a version, 0 or more");
    }
    if (!is_display_name(who.getValue())) {
        return line.fail("--operator", who.getValue(), std::string{display_name_form});
    }
    const auto& addresses = entry_arguments.getValue();
    for (const auto& address : addresses) {
        if (!is_endpoint(address)) {
            return line.fail("--entry", address, std::string{endpoint_form});
        }
    }
    if (addresses.size() > most_polled_entries) {
        return line.fail("--entry", std::to_string(addresses.size()) + " instances",
                         "at most " + std::to_string(most_polled_entries));
    }
    context.json = json.getValue();
    return run_reporting(context, [&]() -> result<exit_code> {
        BOOST_LEAF_AUTO(text, read_file(file.getValue()));
        // Parsed here as well, so that an error names the file.
        BOOST_LEAF_AUTO(document, parse_catalogue(file.getValue(), text));
        print_warnings(context, document);
        const auto client = store.connect(context);
        catalogue_editor editor{*client, context.environment.time, {}, context.environment.pause};
        BOOST_LEAF_AUTO(receipt, editor.apply(text, *base, who.getValue()));
        if (!context.json) {
            context.out << "accepted as version " << receipt.version << ", edit " << receipt.edit_id << std::endl;
            print_changes(context.out, receipt.changes);
        }
        print_receipt(
            context, receipt,
            poll_entry_versions(addresses, receipt.version, context.environment.time, context.environment.entry_limit));
        return exit_code::done;
    });
}

[[nodiscard]] exit_code run_history(command_context& context, const std::span<const std::string> arguments) {
    command_line line{context.name, "Lists the last edits of the catalogue and the versions that the store keeps.",
                      context.out, context.err};
    TCLAP::SwitchArg json{"", "json", "print JSON", line.arguments()};
    store_argument store{line};
    if (const auto code = line.parse(arguments)) {
        return *code;
    }
    if (const auto code = store.check(line)) {
        return *code;
    }
    context.json = json.getValue();
    return run_reporting(context, [&]() -> result<exit_code> {
        const auto client = store.connect(context);
        catalogue_editor editor{*client, context.environment.time};
        BOOST_LEAF_AUTO(history, editor.history());
        if (context.json) {
            context.print(
                {{"version", history.version},
                 {"edits", to_json(history.edits)},
                 {"kept", history.stored_versions ? ordered_json(*history.stored_versions) : ordered_json{}}});
            return exit_code::done;
        }
        for (const auto& edit : history.edits) {
            context.out << describe(edit) << '\n';
        }
        if (!history.stored_versions) {
            context.err << context.name << ": warning: the kept versions cannot be listed\n";
            return exit_code::done;
        }
        context.out << "kept versions:";
        for (const auto version : *history.stored_versions) {
            context.out << ' ' << version;
        }
        context.out << '\n';
        return exit_code::done;
    });
}

struct catalogue_action {
    std::string_view name{};
    exit_code (*run)(command_context& context, std::span<const std::string> arguments){};
};

constexpr std::array<catalogue_action, 4U> catalogue_actions{
    {{"get", run_get}, {"check", run_check}, {"apply", run_apply}, {"history", run_history}}};

/*! @brief Handles a command line whose first word is no action. */
[[nodiscard]] exit_code run_without_action(command_context& context, const std::span<const std::string> arguments) {
    command_line line{context.name,
                      "Reads and edits the operators' catalogue. ACTION is get, check, apply or history; each has a "
                      "--help of its own.",
                      context.out, context.err};
    TCLAP::UnlabeledValueArg<std::string> action{"action", "what to do", true, "", "ACTION", line.arguments()};
    if (const auto code = line.parse(arguments)) {
        return *code;
    }
    return line.fail("ACTION", action.getValue(), "get, check, apply or history");
}

} // namespace internal

int run_catalogue_command(const std::span<const std::string> arguments, std::ostream& out, std::ostream& err,
                          const catalogue_environment& environment) {
    internal::command_context context{"mangopulley catalogue", out, err, environment, false};
    for (const auto& action : internal::catalogue_actions) {
        if (!arguments.empty() && arguments.front() == action.name) {
            context.name += ' ' + arguments.front();
            return static_cast<int>(action.run(context, arguments.subspan(1U)));
        }
    }
    return static_cast<int>(internal::run_without_action(context, arguments));
}

int run_catalogue_command(const std::span<const std::string> arguments, std::ostream& out, std::ostream& err) {
    const system_clock_source time{};
    const catalogue_environment environment{[](const std::string& address) {
                                                return std::make_shared<http_store_client>(address,
                                                                                           internal::store_timeout);
                                            },
                                            time,
                                            {},
                                            internal::entry_limit};
    return run_catalogue_command(arguments, out, err, environment);
}

} // namespace mangopulley
