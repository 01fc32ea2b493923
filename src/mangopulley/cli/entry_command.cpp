#include "entry_command.hpp"

#include <csignal>
#include <fstream>
#include <iterator>
#include <ostream>

#include <Poco/Exception.h>

#include "../entry/entry_process.hpp"
#include "../observe/event_log.hpp"
#include "../settings/settings.hpp"
#include "command.hpp"
#include "command_line.hpp"

namespace mangopulley {

namespace internal {

const bool entry_registered = registry<command>::instance().add("entry", run_entry_command);

[[nodiscard]] sigset_t block_stop_signals() {
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

[[nodiscard]] int serve(const settings& configuration, const milliseconds linger, std::ostream& out,
                        std::ostream& err) {
    // Threads inherit the mask, so the signals are blocked before the first one starts.
    const auto signals = block_stop_signals();
    configure_logging(configuration.log_level);
    try {
        entry_process process{configuration};
        process.start();
        out << "ready" << std::endl; // flushed, because scripts wait for it
        int received = 0;
        sigwait(&signals, &received);
        process.leave(linger);
        process.stop();
        return static_cast<int>(exit_code::done);
    } catch (const Poco::Exception& error) {
        err << "mangopulley entry: " << error.displayText() << '\n';
        return static_cast<int>(exit_code::failed);
    }
}

} // namespace internal

int run_entry_command(const std::span<const std::string> arguments, std::ostream& out, std::ostream& err) {
    command_line line{"mangopulley entry", "Runs an entry instance until SIGTERM or SIGINT.", out, err};
    TCLAP::ValueArg<std::string> file{"",     "settings",      "YAML file with the settings", true, "",
                                      "FILE", line.arguments()};
    TCLAP::ValueArg<std::uint32_t> linger{
        "",
        "linger-ms",
        "time to go on serving after the signal, in ms; default: until address lists that name it have run out",
        false,
        static_cast<std::uint32_t>(leaving_linger.count()),
        "TIME",
        line.arguments()};
    if (const auto finished = line.parse(arguments)) {
        return static_cast<int>(*finished);
    }
    std::ifstream stream{file.getValue()};
    if (!stream) {
        err << "mangopulley entry: cannot read " << file.getValue() << '\n';
        return static_cast<int>(exit_code::failed);
    }
    const std::string text{std::istreambuf_iterator<char>{stream}, {}};
    return boost::leaf::try_handle_all(
        [&]() -> result<int> {
            BOOST_LEAF_AUTO(configuration, parse_settings(file.getValue(), text));
            return internal::serve(configuration, milliseconds{linger.getValue()}, out, err);
        },
        [&](const input_error& error) {
            err << error.source << ':' << error.line << ": " << error.field << ": found '" << error.found
                << "', expected " << error.expected << '\n';
            return static_cast<int>(exit_code::rejected_input);
        },
        [&] {
            err << "mangopulley entry: the settings could not be read\n";
            return static_cast<int>(exit_code::failed);
        });
}

} // namespace mangopulley
