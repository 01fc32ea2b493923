#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <numeric>
#include <random>
#include <sstream>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <mangopulley/catalogue/catalogue_editor.hpp>
#include <mangopulley/core/clock.hpp>
#include <mangopulley/store/http_store_client.hpp>
#include <nlohmann/json.hpp>
#include <standin/common/cluster.hpp>
#include <standin/common/wait_until.hpp>
#include <tclap/CmdLine.h>
#include <unistd.h>

#include "common/workload.hpp"

namespace {

using std::chrono::milliseconds;
using clock_type = std::chrono::steady_clock;

// An instance sends two heartbeats every 500 ms and, on average, answers as many: 8 messages a second.
constexpr double messages_per_second = 8.0;
// Headers of IPv4 (20 B) and TCP (20 B) without options; segments that only acknowledge are not counted.
constexpr double header_bytes = 40.0;
constexpr std::array<std::string_view, 2U> edited_policies{"slot_aware", "two_choices"};

/*! @brief One size to measure. */
struct control_size {
    std::size_t entries{};
    std::size_t services{};
    std::size_t targets{};
};

struct control_plan {
    std::vector<control_size> sizes{};
    std::chrono::seconds length{};
    milliseconds settle{};
    std::size_t edits{};
    std::uint32_t workers{};
    std::uint64_t seed{};
};

/*! @brief Counters of all instances and of the store at one moment. */
struct counter_sample {
    clock_type::time_point at{};
    std::vector<double> processor_seconds{};
    std::vector<double> bytes_sent{};
    std::vector<double> store_calls{};
    double client_reads{};
    double client_writes{};
    double client_watches{};
    nlohmann::json store{};
};

struct measurement {
    std::vector<double> processor_percent{};
    std::vector<double> resident_mb{};
    std::vector<double> bytes_per_second{};
    std::vector<double> store_calls_per_second{};
    double client_reads{};
    double client_writes{};
    double client_watches{};
    nlohmann::json store_rates{};
    std::vector<double> edit_ms{};
    std::size_t catalogue_bytes{};
    double load_before{};
    double load_after{};
};

[[nodiscard]] std::vector<std::size_t> parse_sizes(const std::string& text) {
    std::vector<std::size_t> sizes{};
    std::istringstream stream{text};
    for (std::string part{}; std::getline(stream, part, ',');) {
        sizes.push_back(std::stoul(part));
    }
    return sizes;
}

/*! @brief Repeats the services of a workload until there are `services`, with `targets` shared out in proportion. */
[[nodiscard]] bench::workload scale_workload(const bench::workload& pattern, const std::size_t services,
                                             const std::size_t targets) {
    bench::workload scaled = pattern;
    scaled.services.clear();
    for (std::size_t index = 0U; index < services; ++index) {
        auto service = pattern.services[index % pattern.services.size()];
        if (const auto round = index / pattern.services.size(); round > 0U) {
            service.name += '-' + std::to_string(round);
        }
        scaled.services.push_back(std::move(service));
    }
    const auto total = std::accumulate(
        scaled.services.begin(), scaled.services.end(), std::size_t{0U},
        [](const std::size_t sum, const bench::service_load& service) { return sum + service.targets; });
    std::size_t parts = 0U;
    std::size_t given = 0U;
    for (auto& service : scaled.services) {
        parts += service.targets;
        const auto up_to = targets * parts / total;
        service.targets = up_to - given;
        given = up_to;
    }
    return scaled;
}

[[nodiscard]] double read_machine_load() {
    std::ifstream file{"/proc/loadavg"};
    double one_minute = 0.0;
    file >> one_minute;
    return one_minute;
}

/*! @brief Returns the user and system time of a child and its threads in seconds. */
[[nodiscard]] double read_processor_seconds(const pid_t child) {
    std::ifstream file{"/proc/" + std::to_string(child) + "/stat"};
    std::string text{};
    std::getline(file, text);
    const auto name_end = text.rfind(')');
    if (name_end == std::string::npos) {
        throw std::runtime_error{"no processor time of an entry process"};
    }
    std::istringstream fields{text.substr(name_end + 1U)};
    std::string skipped{};
    // The state is field 3 of proc(5); utime and stime are fields 14 and 15.
    for (int field = 3; field < 14; ++field) {
        fields >> skipped;
    }
    double user = 0.0;
    double system = 0.0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

[[nodiscard]] double read_resident_mb(const pid_t child) {
    std::ifstream file{"/proc/" + std::to_string(child) + "/statm"};
    double size = 0.0;
    double resident = 0.0;
    file >> size >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
}

/*! @brief Publishes the entry processes and targets that do not run; without callers nothing connects to targets. */
void publish_instances(standin::cluster& system, const bench::workload& load) {
    const std::array<std::string, 3U> zones{"zone-a", "zone-b", "zone-c"};
    auto list = nlohmann::json::array();
    const auto add = [&](const std::string& id, const char* role, const std::string& service,
                         const std::string& address, const std::size_t number) {
        list.push_back({{"id", id},
                        {"role", role},
                        {"service", service},
                        {"address", address},
                        {"zone", zones[number % zones.size()]},
                        {"region", "region-1"},
                        {"state", "live"}});
    };
    for (std::size_t index = 0U; index < system.entries(); ++index) {
        add(system.entry_id(index), "entry", "", system.peer_address(index), index);
    }
    std::size_t number = 0U;
    for (const auto& service : load.services) {
        for (std::size_t index = 0U; index < service.targets; ++index, ++number) {
            const auto address = "127.1." + std::to_string(number / 250U) + '.' + std::to_string(1U + (number % 250U));
            add(system.target_id(service.name, index), "target", service.name, address + ":9000", number);
        }
    }
    standin::control(system.store().address(), "/control/instances", list);
}

/*! @brief Writes a catalogue and returns its version. */
[[nodiscard]] std::uint64_t put_catalogue(mangopulley::catalogue_editor& editor, const std::string& text,
                                          const std::uint64_t based_on) {
    return boost::leaf::try_handle_all(
        [&]() -> mangopulley::result<std::uint64_t> {
            BOOST_LEAF_AUTO(receipt, editor.apply(text, based_on, "bench"));
            return receipt.version;
        },
        [](const mangopulley::input_error& error) -> std::uint64_t {
            throw std::runtime_error{"catalogue rejected: " + error.field + ' ' + error.found};
        },
        []() -> std::uint64_t { throw std::runtime_error{"catalogue not written"}; });
}

void wait_until_confirmed(standin::cluster& system, const std::uint64_t version, const std::size_t targets) {
    for (std::size_t index = 0U; index < system.entries(); ++index) {
        const auto ready = [&] {
            const auto state = system.state(index);
            if (!state.is_object() || state["catalogue"]["version"] != version ||
                state["catalogue"]["standing"] != "confirmed") {
                return false;
            }
            std::size_t listed = 0U;
            for (const auto& service : state["services"]) {
                listed += service["targets"].size();
            }
            return listed == targets;
        };
        if (!standin::wait_until(ready, milliseconds{30'000}, milliseconds{50})) {
            throw std::runtime_error{"an instance was not confirmed within 30 s"};
        }
    }
}

[[nodiscard]] counter_sample take_sample(standin::cluster& system) {
    counter_sample sample{};
    sample.at = clock_type::now();
    // Processor times first: the dumps that follow are work that the interval must not contain.
    for (std::size_t index = 0U; index < system.entries(); ++index) {
        sample.processor_seconds.push_back(read_processor_seconds(system.entry(index).id()));
    }
    for (std::size_t index = 0U; index < system.entries(); ++index) {
        const auto control = system.state(index).at("control");
        const auto reads = control.at("store_reads").get<double>();
        const auto writes = control.at("store_writes").get<double>();
        const auto watches = control.at("store_watches").get<double>();
        sample.bytes_sent.push_back(control.at("peer_bytes_sent").get<double>());
        sample.store_calls.push_back(reads + writes + watches);
        sample.client_reads += reads;
        sample.client_writes += writes;
        sample.client_watches += watches;
    }
    sample.store = system.store_counts();
    return sample;
}

/*! @brief Measures the fleet at rest; the dumps at both ends lie outside the interval of the processor times. */
void measure_rest(standin::cluster& system, const control_plan& plan, measurement& result) {
    const auto counters_begin = take_sample(system);
    std::vector<double> processor_begin{};
    const auto begin = clock_type::now();
    for (std::size_t index = 0U; index < system.entries(); ++index) {
        processor_begin.push_back(read_processor_seconds(system.entry(index).id()));
    }
    std::this_thread::sleep_for(plan.length);
    const auto end = take_sample(system);
    const double processor_interval = std::chrono::duration<double>(end.at - begin).count();
    const double interval = std::chrono::duration<double>(end.at - counters_begin.at).count();
    for (std::size_t index = 0U; index < system.entries(); ++index) {
        result.processor_percent.push_back(100.0 * (end.processor_seconds[index] - processor_begin[index]) /
                                           processor_interval);
        result.bytes_per_second.push_back((end.bytes_sent[index] - counters_begin.bytes_sent[index]) / interval);
        result.store_calls_per_second.push_back((end.store_calls[index] - counters_begin.store_calls[index]) /
                                                interval);
    }
    result.client_reads = (end.client_reads - counters_begin.client_reads) / interval;
    result.client_writes = (end.client_writes - counters_begin.client_writes) / interval;
    result.client_watches = (end.client_watches - counters_begin.client_watches) / interval;
    for (const auto* kind : {"reads", "writes", "watches", "instances", "rejected"}) {
        result.store_rates[kind] =
            (end.store.at(kind).get<double>() - counters_begin.store.at(kind).get<double>()) / interval;
    }
    result.store_rates["waiting"] = end.store.at("waiting");
}

/*! @brief Returns the version in force at an instance; 0 when it does not answer. */
[[nodiscard]] std::uint64_t read_version(const standin::cluster& system, const std::size_t index) {
    const auto text = standin::http_get(system.operator_address(index), "/metrics").body;
    std::istringstream lines{text};
    for (std::string line{}; std::getline(lines, line);) {
        if (line.find("catalogue_version") != std::string::npos && !line.starts_with('#')) {
            return static_cast<std::uint64_t>(std::stod(line.substr(line.rfind(' ') + 1U)));
        }
    }
    return 0U;
}

/**
 * @brief Times edits from before the editor is called until the last instance has the version in force.
 *
 * A version never reverts, so it is enough to wait for one instance after the other. The pauses are random so that the
 * edits fall on all phases of the heartbeats.
 */
void measure_edits(const standin::cluster& system, mangopulley::catalogue_editor& editor, const bench::workload& load,
                   std::uint64_t version, const control_plan& plan, measurement& result) {
    std::mt19937_64 random{plan.seed};
    std::uniform_int_distribution<int> pause_ms{100, 600};
    for (std::size_t edit = 0U; edit < plan.edits; ++edit) {
        std::this_thread::sleep_for(milliseconds{pause_ms(random)});
        const auto text = bench::catalogue_text(load, edited_policies[(edit + 1U) % edited_policies.size()]);
        const auto begin = clock_type::now();
        version = put_catalogue(editor, text, version);
        for (std::size_t index = 0U; index < system.entries(); ++index) {
            const auto in_force = [&] { return read_version(system, index) >= version; };
            if (!standin::wait_until(in_force, milliseconds{15'000}, milliseconds{2})) {
                throw std::runtime_error{"an edit was not in force everywhere within 15 s"};
            }
        }
        result.edit_ms.push_back(std::chrono::duration<double, std::milli>(clock_type::now() - begin).count());
    }
    std::sort(result.edit_ms.begin(), result.edit_ms.end());
}

[[nodiscard]] measurement run_size(const control_plan& plan, const control_size& size) {
    const auto load = scale_workload(bench::find_workload("sialkot"), size.services, size.targets);
    measurement result{};
    result.load_before = read_machine_load();
    standin::cluster_options options{};
    options.binary_folder = MANGOPULLEY_BINARY_DIR;
    options.seed = plan.seed;
    options.entries = size.entries;
    options.workers = plan.workers;
    options.log_level = "error";
    standin::cluster system{options};
    publish_instances(system, load);
    system.start_entries();
    const mangopulley::system_clock_source time{};
    mangopulley::http_store_client store{system.store().address(), milliseconds{2000}};
    mangopulley::catalogue_editor editor{store, time};
    const auto text = bench::catalogue_text(load, edited_policies.front());
    result.catalogue_bytes = text.size();
    const auto version = put_catalogue(editor, text, 0U);
    wait_until_confirmed(system, version, size.targets);
    std::this_thread::sleep_for(plan.settle);
    measure_rest(system, plan, result);
    measure_edits(system, editor, load, version, plan, result);
    for (std::size_t index = 0U; index < system.entries(); ++index) {
        result.resident_mb.push_back(read_resident_mb(system.entry(index).id()));
    }
    result.load_after = read_machine_load();
    return result;
}

[[nodiscard]] double mean(const std::vector<double>& values) {
    return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

[[nodiscard]] double largest(const std::vector<double>& values) {
    return *std::max_element(values.begin(), values.end());
}

/*! @brief Returns the nearest-rank quantile of sorted values, or 0 when there are none. */
[[nodiscard]] double quantile(const std::vector<double>& sorted, const double part) {
    if (sorted.empty()) {
        return 0.0;
    }
    const auto rank = static_cast<std::size_t>(std::ceil(part * static_cast<double>(sorted.size())));
    return sorted[std::max<std::size_t>(rank, 1U) - 1U];
}

void print_header() {
    std::printf("# per instance: cpu in %% of a core, rss in MB, B/s sent between instances (tcp_B/s: with %.0f B of "
                "headers for each of %.0f messages/s)\n"
                "# per fleet and second: store calls as the instances count them (c_) and as the store counts them "
                "(s_); s_wait: watches waiting\n",
                header_bytes, messages_per_second);
    std::printf("%7s %8s %7s %6s %7s %7s %7s %7s %7s %7s %7s %7s %7s %8s %7s %7s %7s %7s %6s %6s %7s %7s %7s %6s "
                "%6s\n",
                "entries", "services", "targets", "cat_B", "cpu", "cpu_max", "rss", "rss_max", "B/s", "B/s_max",
                "tcp_B/s", "c_read", "c_write", "c_watch", "s_read", "s_write", "s_watch", "s_inst", "s_rej", "s_wait",
                "p50ms", "p99ms", "worst", "load0", "load1");
    std::fflush(stdout);
}

void print_row(const control_size& size, const measurement& result) {
    const auto rate = [&](const char* kind) { return result.store_rates.at(kind).get<double>(); };
    std::printf("%7zu %8zu %7zu %6zu %7.3f %7.3f %7.1f %7.1f %7.0f %7.0f %7.0f %7.2f %7.2f %8.2f %7.2f %7.2f %7.2f "
                "%7.2f %6.2f %6.0f %7.1f %7.1f %7.1f %6.2f %6.2f\n",
                size.entries, size.services, size.targets, result.catalogue_bytes, mean(result.processor_percent),
                largest(result.processor_percent), mean(result.resident_mb), largest(result.resident_mb),
                mean(result.bytes_per_second), largest(result.bytes_per_second),
                mean(result.bytes_per_second) + (messages_per_second * header_bytes), result.client_reads,
                result.client_writes, result.client_watches, rate("reads"), rate("writes"), rate("watches"),
                rate("instances"), rate("rejected"), rate("waiting"), quantile(result.edit_ms, 0.5),
                quantile(result.edit_ms, 0.99), quantile(result.edit_ms, 1.0), result.load_before, result.load_after);
    std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv) {
    TCLAP::CmdLine line{"Measures what control costs without load from callers.", ' ', "1"};
    TCLAP::ValueArg<std::string> entries{"", "entries", "numbers of entry instances", false, "4,8,14,28", "LIST", line};
    TCLAP::ValueArg<std::string> services{
        "", "services", "numbers of services in the catalogue, one for each of --targets", false, "3", "LIST", line};
    TCLAP::ValueArg<std::string> targets{
        "", "targets", "numbers of targets in the instance list; none of them runs", false, "27", "LIST", line};
    TCLAP::ValueArg<std::size_t> seconds{"", "seconds", "length of the measurement at rest", false, 20U, "S", line};
    TCLAP::ValueArg<std::size_t> settle{"", "settle-ms", "wait before the measurement", false, 3000U, "MS", line};
    TCLAP::ValueArg<std::size_t> edits{"", "edits", "catalogue edits to time", false, 50U, "N", line};
    TCLAP::ValueArg<std::uint32_t> workers{"", "workers", "workers of the caller port", false, 64U, "N", line};
    TCLAP::ValueArg<std::uint64_t> seed{"", "seed", "seed of the pauses between edits", false, 1U, "N", line};
    line.parse(argc, argv);
    try {
        control_plan plan{};
        const auto service_counts = parse_sizes(services.getValue());
        const auto target_counts = parse_sizes(targets.getValue());
        if (service_counts.size() != target_counts.size()) {
            throw std::invalid_argument{"--services and --targets must have as many values"};
        }
        for (const auto entry_count : parse_sizes(entries.getValue())) {
            for (std::size_t index = 0U; index < service_counts.size(); ++index) {
                plan.sizes.push_back({entry_count, service_counts[index], target_counts[index]});
            }
        }
        plan.length = std::chrono::seconds{seconds.getValue()};
        plan.settle = milliseconds{settle.getValue()};
        plan.edits = edits.getValue();
        plan.workers = workers.getValue();
        plan.seed = seed.getValue();
        print_header();
        for (const auto& size : plan.sizes) {
            print_row(size, run_size(plan, size));
        }
    } catch (const std::exception& error) {
        std::cerr << "bench_control: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
