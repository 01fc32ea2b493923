#include "gateway_command.hpp"

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <ostream>

#include <Poco/Exception.h>

#include "../gateway/gateway_process.hpp"
#include "../observe/event_log.hpp"
#include "command.hpp"
#include "command_line.hpp"

namespace mangopulley {

namespace internal {

namespace {

[[maybe_unused]] const bool gateway_registered = registry<command>::instance().add("gateway", run_gateway_command);
// The platform names the settings file in this variable.
constexpr const char* settings_variable = "MANGOPULLEY_SETTINGS";

std::atomic<gateway_process*> running_gateway{};

extern "C" void handle_gateway_signal(const int signal) {
    if (auto* process = running_gateway.load()) {
        if (signal == SIGHUP) {
            process->request_reload();
        } else {
            process->request_stop();
        }
    }
}

[[nodiscard]] std::string read_file(const std::string& path) {
    std::ifstream stream{path};
    return {std::istreambuf_iterator<char>{stream}, {}};
}

[[nodiscard]] int serve_gateway(const gateway_settings& configuration, const std::string& path, std::ostream& err) {
    configure_background_logging(configuration.log_level);
    const system_clock_source time{};
    try {
        gateway_process process{configuration, time, [path] { return read_file(path); }};
        running_gateway = &process;
        std::signal(SIGPIPE, SIG_IGN);
        for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
            std::signal(signal, handle_gateway_signal);
        }
        process.run();
        running_gateway = nullptr;
        stop_logging();
        return static_cast<int>(exit_code::done);
    } catch (const Poco::Exception& error) {
        err << "mangopulley gateway: " << error.displayText() << '\n';
        return static_cast<int>(exit_code::failed);
    }
}

[[nodiscard]] std::string default_settings_path() {
    const char* path = std::getenv(settings_variable); // NOLINT(concurrency-mt-unsafe)
    return path == nullptr ? std::string{} : std::string{path};
}

} // namespace

} // namespace internal

int run_gateway_command(const std::span<const std::string> arguments, std::ostream& out, std::ostream& err) {
    command_line line{"mangopulley gateway", "Runs a gateway instance until SIGTERM or SIGINT.", out, err};
    TCLAP::ValueArg<std::string> file{"",
                                      "settings",
                                      "YAML file with the settings; default: named by MANGOPULLEY_SETTINGS",
                                      false,
                                      internal::default_settings_path(),
                                      "FILE",
                                      line.arguments()};
    if (const auto finished = line.parse(arguments)) {
        return static_cast<int>(*finished);
    }
    const auto text = internal::read_file(file.getValue());
    if (text.empty()) {
        err << "mangopulley gateway: cannot read " << file.getValue() << '\n';
        return static_cast<int>(exit_code::failed);
    }
    return boost::leaf::try_handle_all(
        [&]() -> result<int> {
            BOOST_LEAF_AUTO(configuration, parse_gateway_settings(file.getValue(), text));
            return internal::serve_gateway(configuration, file.getValue(), err);
        },
        [&](const input_error& error) {
            err << error.source << ':' << error.line << ": " << error.field << ": found '" << error.found
                << "', expected " << error.expected << '\n';
            return static_cast<int>(exit_code::rejected_input);
        },
        [&] {
            err << "mangopulley gateway: the settings could not be read\n";
            return static_cast<int>(exit_code::failed);
        });
}

} // namespace mangopulley
