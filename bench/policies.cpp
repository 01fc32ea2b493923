#include <atomic>
#include <cstdio>
#include <iostream>
#include <sstream>
#include <stop_token>
#include <string>
#include <thread>
#include <vector>

#include <mangopulley/catalogue/catalogue_editor.hpp>
#include <mangopulley/core/clock.hpp>
#include <mangopulley/store/http_store_client.hpp>
#include <standin/common/cluster.hpp>
#include <standin/common/wait_until.hpp>
#include <tclap/CmdLine.h>

#include "common/load_generator.hpp"
#include "common/senders.hpp"
#include "common/workload.hpp"

namespace {

using std::chrono::milliseconds;

/*! @brief Way of choosing targets that is measured. */
struct contender {
    std::string name{};
    std::string policy{};
    /*! @brief Whether callers use any instance instead of the ones they are told. */
    bool spread{};
    bool oracle{};
};

struct experiment {
    bench::workload load{};
    std::vector<std::uint64_t> seeds{};
    std::vector<contender> contenders{};
    double utilisation{};
    milliseconds length{};
    milliseconds warm_up{};
    milliseconds noise_gap{};
    std::size_t entries{};
    std::size_t threads{};
    std::size_t report_lag_ms{};
    std::size_t misleading{};
};

[[nodiscard]] std::vector<std::string> split(const std::string& text) {
    std::vector<std::string> parts{};
    std::istringstream stream{text};
    for (std::string part{}; std::getline(stream, part, ',');) {
        parts.push_back(part);
    }
    return parts;
}

/*! @brief Reads `name`, `name@spread` or `oracle`. */
[[nodiscard]] contender parse_contender(const std::string& text) {
    const auto at = text.find('@');
    contender item{text, text.substr(0U, at), at != std::string::npos, text == "oracle"};
    return item;
}

[[nodiscard]] standin::cluster_options plan_cluster(const experiment& plan) {
    standin::cluster_options options{};
    options.binary_folder = MANGOPULLEY_BINARY_DIR;
    options.entries = plan.entries;
    options.workers = 1024U;
    options.log_level = "error";
    for (const auto& service : plan.load.services) {
        options.services.push_back(
            {service.name,
             service.targets,
             {"--service-time-us", std::to_string(plan.load.service_time.count()), "--distribution", "exponential",
              "--probe-ms", std::to_string(plan.load.probe_time.count()), "--report-lag-ms",
              std::to_string(plan.report_lag_ms)}});
    }
    return options;
}

/*! @brief Puts the catalogue in force with another policy and waits until every instance has it. */
void put_policy(standin::cluster& system, const bench::workload& load, const std::string& policy) {
    const mangopulley::system_clock_source time{};
    mangopulley::http_store_client store{system.store().address(), milliseconds{2000}};
    mangopulley::catalogue_editor editor{store, time};
    const auto based_on = boost::leaf::try_handle_all(
        [&]() -> mangopulley::result<std::uint64_t> {
            BOOST_LEAF_AUTO(current, editor.current());
            return current.version;
        },
        [] { return std::uint64_t{0U}; });
    const auto version = boost::leaf::try_handle_all(
        [&]() -> mangopulley::result<std::uint64_t> {
            BOOST_LEAF_AUTO(receipt, editor.apply(bench::catalogue_text(load, policy), based_on, "bench"));
            return receipt.version;
        },
        [](const mangopulley::input_error& error) -> std::uint64_t {
            throw std::runtime_error{"catalogue rejected: " + error.field + " " + error.found};
        },
        []() -> std::uint64_t { throw std::runtime_error{"catalogue not written"}; });
    for (std::size_t index = 0U; index < system.entries(); ++index) {
        const auto in_force = [&] {
            const auto state = system.state(index);
            return state.is_object() && state["catalogue"]["version"] == version &&
                   state["catalogue"]["serving"] == true;
        };
        if (!standin::wait_until(in_force, milliseconds{10'000}, milliseconds{20})) {
            throw std::runtime_error{"an instance did not take over the catalogue"};
        }
    }
}

/*! @brief Makes targets slow as planned, until it is stopped. */
void run_noise(const std::stop_token& stop, standin::cluster& system, const bench::workload& load,
               const std::vector<bench::slow_spell>& spells) {
    const auto begin = std::chrono::steady_clock::now() + milliseconds{200};
    for (const auto& spell : spells) {
        while (!stop.stop_requested() && std::chrono::steady_clock::now() < begin + spell.at) {
            std::this_thread::sleep_for(milliseconds{1});
        }
        if (stop.stop_requested()) {
            return;
        }
        system.set_target(load.services[spell.service].name, spell.target,
                          {{"slow_factor", spell.factor}, {"slow_for_ms", spell.length.count()}});
    }
}

/*! @brief Sum of a counter over all targets. */
[[nodiscard]] double sum_targets(standin::cluster& system, const bench::workload& load, const char* counter) {
    double sum = 0.0;
    for (const auto& service : load.services) {
        for (std::size_t index = 0U; index < service.targets; ++index) {
            sum += system.target_counts(service.name, index).value(counter, 0.0);
        }
    }
    return sum;
}

[[nodiscard]] bench::run_result run_contender(standin::cluster& system, const experiment& plan, const contender& item,
                                              const std::uint64_t seed) {
    if (!item.oracle) {
        put_policy(system, plan.load, item.policy);
    }
    const auto arrivals = bench::plan_arrivals(plan.load, plan.utilisation, plan.length, seed);
    const auto spells = plan.noise_gap.count() > 0 ? bench::plan_noise(plan.load, plan.length, plan.noise_gap, seed)
                                                   : std::vector<bench::slow_spell>{};
    std::vector<std::string> instances{};
    for (std::size_t index = 0U; index < system.entries(); ++index) {
        instances.push_back(system.caller_address(index));
    }
    std::vector<std::vector<std::string>> targets{};
    for (const auto& service : plan.load.services) {
        auto& addresses = targets.emplace_back();
        for (std::size_t index = 0U; index < service.targets; ++index) {
            addresses.push_back(system.target(service.name, index).address());
        }
    }
    bench::address_cache cache{plan.load, instances, item.spread};
    bench::target_queues queues{targets};
    bench::connection_pool pool{};
    static std::atomic<std::size_t> runs{};
    const auto run_name = "run" + std::to_string(runs.fetch_add(1U));
    const auto make_sender = [&]() -> std::unique_ptr<bench::request_sender> {
        if (item.oracle) {
            return std::make_unique<bench::oracle_sender>(plan.load, queues, pool, run_name);
        }
        return std::make_unique<bench::entry_sender>(plan.load, cache, run_name);
    };
    std::jthread noise{[&](const std::stop_token& stop) { run_noise(stop, system, plan.load, spells); }};
    return bench::run_load(plan.load, arrivals, plan.warm_up, plan.threads, make_sender);
}

void print_header() {
    std::printf("%-10s %5s %-6s %-22s %7s %7s %7s %7s %8s %8s %7s %6s %6s %6s %6s %7s\n", "workload", "load", "seed",
                "policy", "sent", "p50ms", "p90ms", "p99ms", "p99.9ms", "max_ms", "worth", "notrun", "refuse", "unkn",
                "fail", "probes");
}

void print_row(const experiment& plan, const contender& item, const std::string& seed, const bench::run_result& run,
               const double probes) {
    std::printf("%-10s %5.2f %-6s %-22s %7zu %7.2f %7.2f %7.2f %8.2f %8.2f %7.4f %6zu %6zu %6zu %6zu %7.0f\n",
                plan.load.name.c_str(), plan.utilisation, seed.c_str(), item.name.c_str(), run.sent,
                run.quantile_ms(0.5), run.quantile_ms(0.9), run.quantile_ms(0.99), run.quantile_ms(0.999),
                run.quantile_ms(1.0), run.worth_in_time, run.not_run, run.refused, run.unknown, run.failed, probes);
    std::fflush(stdout);
}

/*! @brief Joins the runs of all seeds. */
void add(bench::run_result& total, const bench::run_result& part) {
    const auto weight = static_cast<double>(total.sent);
    const auto part_weight = static_cast<double>(part.sent);
    total.worth_in_time =
        ((total.worth_in_time * weight) + (part.worth_in_time * part_weight)) / (weight + part_weight);
    total.latencies.insert(total.latencies.end(), part.latencies.begin(), part.latencies.end());
    std::sort(total.latencies.begin(), total.latencies.end());
    total.sent += part.sent;
    total.answered += part.answered;
    total.not_run += part.not_run;
    total.refused += part.refused;
    total.unknown += part.unknown;
    total.failed += part.failed;
    total.late_starts += part.late_starts;
}

void run(const experiment& plan) {
    standin::cluster system{plan_cluster(plan)};
    system.start_entries();
    for (const auto& service : plan.load.services) {
        for (std::size_t index = 0U; index < std::min(plan.misleading, service.targets); ++index) {
            system.set_target(service.name, index, {{"report_mislead", true}});
        }
    }
    put_policy(system, plan.load, "slot_aware");
    print_header();
    std::vector<bench::run_result> totals(plan.contenders.size());
    for (const auto seed : plan.seeds) {
        for (std::size_t index = 0U; index < plan.contenders.size(); ++index) {
            const auto probes_before = sum_targets(system, plan.load, "probes");
            const auto result = run_contender(system, plan, plan.contenders[index], seed);
            print_row(plan, plan.contenders[index], std::to_string(seed), result,
                      sum_targets(system, plan.load, "probes") - probes_before);
            add(totals[index], result);
            // Slow spells of this run must not reach into the next one.
            std::this_thread::sleep_for(milliseconds{plan.noise_gap.count() > 0 ? 2200 : 300});
        }
    }
    for (std::size_t index = 0U; index < plan.contenders.size(); ++index) {
        print_row(plan, plan.contenders[index], "all", totals[index], 0.0);
        if (totals[index].late_starts > totals[index].sent / 100U) {
            std::printf("warning: the driver began %zu requests over 1 ms late\n", totals[index].late_starts);
        }
    }
}

} // namespace

int main(int argc, char** argv) {
    TCLAP::CmdLine line{"Compares policies under one plan of arrivals and slow spells.", ' ', "1"};
    TCLAP::ValueArg<std::string> workload{"", "workload", "sialkot or daugava", false, "sialkot", "NAME", line};
    TCLAP::ValueArg<double> load{"",     "load", "part of the slots kept busy; above 1 is a burst", false, 0.7,
                                 "PART", line};
    TCLAP::ValueArg<std::string> seeds{"", "seeds", "seeds, separated by commas", false, "1,2,3", "LIST", line};
    TCLAP::ValueArg<std::string> policies{
        "",
        "policies",
        "policies to compare; @spread lets callers use any instance; oracle is the limit",
        false,
        "random@spread,round_robin@spread,least_in_flight@spread,two_choices@spread,slot_aware,oracle",
        "LIST",
        line};
    TCLAP::ValueArg<std::size_t> seconds{"", "seconds", "length of a run", false, 8U, "S", line};
    TCLAP::ValueArg<std::size_t> noise{
        "", "noise-gap-ms", "mean time between slow spells; 0 for none", false, 400U, "MS", line};
    TCLAP::ValueArg<std::size_t> entries{"", "entries", "entry instances", false, 14U, "N", line};
    TCLAP::ValueArg<std::size_t> threads{"", "threads", "threads of the driver", false, 600U, "N", line};
    TCLAP::ValueArg<std::size_t> lag{"", "report-lag-ms", "age of the targets' load reports", false, 100U, "MS", line};
    TCLAP::ValueArg<std::size_t> misleading{"",  "misleading", "targets per service that report no load", false, 1U,
                                            "N", line};
    TCLAP::ValueArg<std::size_t> slots{
        "", "catalogue-slots", "slots per target that the catalogue states", false, 2U, "N", line};
    line.parse(argc, argv);
    experiment plan{};
    plan.load = bench::find_workload(workload.getValue());
    plan.load.catalogue_slots = slots.getValue();
    for (const auto& seed : split(seeds.getValue())) {
        plan.seeds.push_back(std::stoull(seed));
    }
    for (const auto& name : split(policies.getValue())) {
        plan.contenders.push_back(parse_contender(name));
    }
    plan.utilisation = load.getValue();
    plan.length = std::chrono::seconds{seconds.getValue()};
    plan.warm_up = milliseconds{1000};
    plan.noise_gap = milliseconds{noise.getValue()};
    plan.entries = entries.getValue();
    plan.threads = threads.getValue();
    plan.report_lag_ms = lag.getValue();
    plan.misleading = misleading.getValue();
    try {
        run(plan);
    } catch (const std::exception& error) {
        std::cerr << "bench_policies: " << error.what() << '\n';
        return 1;
    }
    return 0;
}
