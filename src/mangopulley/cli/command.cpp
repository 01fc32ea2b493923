#include "command.hpp"

#include <algorithm>
#include <array>
#include <ostream>

#include "service_signals.hpp"

namespace mangopulley {

namespace internal {

// These install handlers before they unblock the signals; all other commands are ended by them.
constexpr std::array<std::string_view, 2U> service_commands{"gateway", "entry"};

void write_usage(std::ostream& stream) {
    stream << "usage: mangopulley COMMAND [options]\n\ncommands:\n";
    for (const auto& name : registry<command>::instance().names()) {
        stream << "  " << name << '\n';
    }
    stream << "\n'mangopulley COMMAND --help' describes a command.\n"
              "exit codes: 0 done, 1 failed, 2 usage, 3 rejected input, 4 conflict, 5 outcome not known\n";
}

} // namespace internal

int run_command(const std::span<const std::string> arguments, std::ostream& out, std::ostream& err) {
    const auto& services = internal::service_commands;
    if (arguments.empty() || std::find(services.begin(), services.end(), arguments.front()) == services.end()) {
        unblock_service_signals();
    }
    if (arguments.empty()) {
        internal::write_usage(err);
        return static_cast<int>(exit_code::usage);
    }
    const auto& name = arguments.front();
    if (name == "--help" || name == "-h") {
        internal::write_usage(out);
        return static_cast<int>(exit_code::done);
    }
    if (name == "--version") {
        out << "mangopulley " << MANGOPULLEY_VERSION << '\n';
        return static_cast<int>(exit_code::done);
    }
    const auto* action = registry<command>::instance().find(name);
    if (action == nullptr) {
        err << "mangopulley: no command named '" << name << "'\n";
        internal::write_usage(err);
        return static_cast<int>(exit_code::usage);
    }
    return (*action)(arguments.subspan(1U), out, err);
}

} // namespace mangopulley
