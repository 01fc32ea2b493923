#include "gateway_command.hpp"

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <ostream>
#include <thread>

#include <Poco/Exception.h>

#include "../gateway/gateway_process.hpp"
#include "../observe/event_log.hpp"
#include "command.hpp"
#include "command_line.hpp"
#include "service_signals.hpp"

namespace mangopulley {

namespace internal {

namespace {

[[maybe_unused]] const bool gateway_registered = registry<command>::instance().add("gateway", run_gateway_command);
// The platform names the settings file in this variable.
constexpr const char* settings_variable = "MANGOPULLEY_SETTINGS";

// The platform may still be writing the file when the process starts.
constexpr std::chrono::milliseconds max_settings_wait{2'000};
constexpr std::chrono::milliseconds settings_retry_period{20};

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

/*! @brief Passes signals to a process for its own lifetime. */
class signal_receiver {
public:
    explicit signal_receiver(gateway_process& process) noexcept {
        running_gateway = &process;
        std::signal(SIGPIPE, SIG_IGN);
        for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
            std::signal(signal, handle_gateway_signal);
        }
        unblock_service_signals();
    }
    signal_receiver(const signal_receiver&) = delete;
    signal_receiver& operator=(const signal_receiver&) = delete;
    ~signal_receiver() { running_gateway = nullptr; }
};

[[nodiscard]] std::string read_file(const std::string& path) {
    std::ifstream stream{path};
    return {std::istreambuf_iterator<char>{stream}, {}};
}

/*! @brief Settings with the text that they were read from. */
struct loaded_settings {
    gateway_settings values{};
    std::string text{};
};

/*! @brief Reads the settings; tries again for a while if the file is missing, empty or not valid. */
[[nodiscard]] result<loaded_settings> load_settings(const std::string& path) {
    const auto give_up = std::chrono::steady_clock::now() + max_settings_wait;
    while (true) {
        auto text = read_file(path);
        auto parsed = parse_gateway_settings(path, text);
        if (parsed) {
            return loaded_settings{*parsed, std::move(text)};
        }
        if (std::chrono::steady_clock::now() >= give_up) {
            return parsed.error();
        }
        std::this_thread::sleep_for(settings_retry_period);
    }
}

[[nodiscard]] int serve_gateway(const loaded_settings& loaded, const std::string& path, std::ostream& err) {
    configure_background_logging(loaded.values.log_level);
    const system_clock_source time{};
    try {
        gateway_process process{loaded.values, loaded.text, time, [path] { return read_file(path); }};
        const signal_receiver receiver{process};
        process.run();
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
    return boost::leaf::try_handle_all(
        [&]() -> result<int> {
            BOOST_LEAF_AUTO(loaded, internal::load_settings(file.getValue()));
            return internal::serve_gateway(loaded, file.getValue(), err);
        },
        [&](const input_error& error) {
            if (internal::read_file(file.getValue()).empty()) {
                err << "mangopulley gateway: cannot read " << file.getValue() << '\n';
                return static_cast<int>(exit_code::failed);
            }
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
