#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>
#include <standin/common/cluster.hpp>

#include "order_trial.hpp"

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using integration::order_trial;
using std::chrono::milliseconds;
using steady = std::chrono::steady_clock;

constexpr std::size_t caller_count = 12U;
constexpr std::size_t orders_per_caller = 25U;
constexpr std::size_t most_keys = 4U;
constexpr std::size_t most_repeats = 5U;
constexpr milliseconds order_timeout{800};
// The callers usually end a little later than the faults.
constexpr milliseconds fault_time{8'000};
constexpr milliseconds settle_time{8'000};
constexpr milliseconds soon{20'000};

/*! @brief Figures of one seed. */
struct run_figures {
    std::map<std::string, std::size_t> faults{};
    std::size_t repeats{};
    std::size_t once_unknown{};
    std::map<std::string, std::size_t> resolved{};
};

/*! @brief Random numbers of one thread. */
class dice {
public:
    explicit dice(const std::uint64_t seed) : engine{seed} {}
    [[nodiscard]] std::size_t below(const std::size_t bound) { return this->engine() % bound; }
    [[nodiscard]] bool percent(const std::size_t chance) { return this->below(100U) < chance; }
    [[nodiscard]] milliseconds time(const std::size_t least, const std::size_t most) {
        return milliseconds{least + this->below(most - least + 1U)};
    }

private:
    std::mt19937_64 engine;
};

/*! @brief A caller that repeats without an answer, moves to other instances, and takes a new key after `not-run`. */
class caller {
public:
    caller(const standin::cluster& called, order_trial& records, const std::uint64_t seed)
        : system{called}, trial{records}, chance{seed} {}

    void run() {
        for (std::size_t number = 0U; number < orders_per_caller; ++number) {
            std::this_thread::sleep_for(this->chance.time(0U, 400U));
            std::string outcome{};
            for (std::size_t key = 0U; key < most_keys && (key == 0U || outcome == "not-run"); ++key) {
                outcome = this->send_under_new_key();
            }
        }
    }

private:
    [[nodiscard]] std::size_t any_entry() { return this->chance.below(this->system.entries()); }

    [[nodiscard]] std::string send_under_new_key() {
        constexpr std::size_t most_lookups = 10U;
        std::optional<integration::address_list> list{};
        for (std::size_t tries = 0U; tries < most_lookups && !list; ++tries) {
            list = integration::list_addresses(this->system, this->any_entry());
        }
        if (!list) {
            return "no address";
        }
        const auto order = this->trial.add(list->token);
        // A second caller with the same key at another instance, at nearly the same time.
        std::thread rival{};
        if (this->chance.percent(30U)) {
            rival = std::thread{[this, order, entry = this->any_entry(), wait = this->chance.time(0U, 60U)] {
                std::this_thread::sleep_for(wait);
                this->trial.submit(order, entry, order_timeout);
            }};
        }
        auto told = this->trial.submit(order, this->entry_of(list->addresses.front()), order_timeout);
        const bool repeats_in_any_case = this->chance.percent(20U);
        for (std::size_t repeat = 0U; repeat < most_repeats; ++repeat) {
            const bool decided = told.outcome == "answered" || told.outcome == "not-run";
            if (decided && (!repeats_in_any_case || repeat > 0U)) {
                break;
            }
            std::this_thread::sleep_for(this->chance.time(0U, 150U));
            told = this->trial.submit(order, this->any_entry(), order_timeout);
        }
        if (rival.joinable()) {
            rival.join();
        }
        return this->trial.record(order).outcome();
    }

    [[nodiscard]] std::size_t entry_of(const std::string& address) const {
        for (std::size_t entry = 0U; entry < this->system.entries(); ++entry) {
            if (this->system.caller_address(entry) == address) {
                return entry;
            }
        }
        return 0U;
    }

    const standin::cluster& system;
    order_trial& trial;
    dice chance;
};

/*! @brief Faults drawn at random, each of which ends after a random time. */
class fault_schedule {
public:
    fault_schedule(standin::cluster& harmed, const std::uint64_t seed, std::map<std::string, std::size_t>& counted)
        : system{harmed}, chance{seed}, counts{counted} {}

    void run() {
        const auto end = steady::now() + fault_time;
        auto next = steady::now();
        while (steady::now() < end) {
            if (steady::now() >= next) {
                this->strike();
                next = steady::now() + this->chance.time(100U, 600U);
            }
            this->lift(steady::now());
            std::this_thread::sleep_for(10ms);
        }
        this->lift(steady::time_point::max());
    }

private:
    struct pending_end {
        steady::time_point time{};
        std::function<void()> lift{};
    };

    void lift(const steady::time_point now) {
        for (std::size_t index = 0U; index < this->ends.size();) {
            if (this->ends[index].time > now) {
                ++index;
                continue;
            }
            const auto action = std::move(this->ends[index].lift);
            this->ends.erase(this->ends.begin() + static_cast<std::ptrdiff_t>(index));
            action();
        }
    }

    void end_in(const milliseconds time, std::function<void()> action) {
        this->ends.push_back({steady::now() + time, std::move(action)});
    }

    void strike() {
        static constexpr void (fault_schedule::*actions[])() = {&fault_schedule::kill, &fault_schedule::freeze,
                                                                &fault_schedule::cut, &fault_schedule::stop_store};
        (this->*actions[this->chance.below(std::size(actions))])();
    }

    void kill() {
        const auto entry = this->chance.below(this->system.entries());
        auto& program = this->system.entry(entry);
        if (!program.running()) {
            return;
        }
        program.kill();
        ++this->counts["kills"];
        this->end_in(this->chance.time(100U, 1'500U), [this, entry] { this->system.start_entry(entry); });
    }

    void freeze() {
        const auto entry = this->chance.below(this->system.entries());
        auto& program = this->system.entry(entry);
        if (!program.running() || !program.freeze()) {
            return;
        }
        ++this->counts["freezes"];
        this->end_in(this->chance.time(200U, 2'500U), [this, entry] { this->system.entry(entry).wake(); });
    }

    void cut() {
        static constexpr std::pair<const char*, const char*> cuts[] = {
            {"both", "both"}, {"to_server", "to_client"}, {"to_client", "to_server"}};
        const auto& [outgoing, incoming] = cuts[this->chance.below(std::size(cuts))];
        const auto entry = this->chance.below(this->system.entries());
        this->set_links(entry, outgoing, incoming);
        ++this->counts["cuts"];
        this->end_in(this->chance.time(300U, 2'500U), [this, entry] { this->set_links(entry, "none", "none"); });
    }

    void set_links(const std::size_t entry, const std::string& outgoing, const std::string& incoming) {
        for (std::size_t other = 0U; other < this->system.entries(); ++other) {
            if (other != entry) {
                this->system.set_peer_link(entry, other, {{"cut", outgoing}});
                this->system.set_peer_link(other, entry, {{"cut", incoming}});
            }
        }
    }

    void stop_store() {
        this->system.set_store_faults(this->chance.percent(50U) ? nlohmann::json{{"down", true}}
                                                                : nlohmann::json{{"delay_ms", 400}});
        ++this->counts["outages"];
        this->end_in(this->chance.time(500U, 5'000U), [this] {
            this->system.set_store_faults({{"down", false}, {"delay_ms", 0}});
        });
    }

    standin::cluster& system;
    dice chance;
    std::map<std::string, std::size_t>& counts;
    std::vector<pending_end> ends{};
};

[[nodiscard]] run_figures count_records(const order_trial& trial, const std::size_t repeats_after) {
    run_figures figures{};
    for (std::size_t order = 0U; order < trial.size(); ++order) {
        const auto record = trial.record(order);
        const auto submissions =
            std::count_if(record.told.begin(), record.told.end(), [](const auto& told) { return !told.lookup; });
        figures.repeats += static_cast<std::size_t>(submissions) - 1U;
        if (std::none_of(record.told.begin(), record.told.end(),
                         [](const auto& told) { return told.outcome.empty() || told.outcome == "unknown"; })) {
            continue;
        }
        ++figures.once_unknown;
        const auto outcome = record.outcome();
        ++figures.resolved[outcome != "unknown" ? outcome : record.open() ? "still open" : "finally unknown"];
    }
    figures.repeats -= repeats_after;
    return figures;
}

[[nodiscard]] std::uint64_t environment_number(const char* name, const std::uint64_t fallback) {
    const char* text = std::getenv(name);
    return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

void print(const std::uint64_t seed, const run_figures& figures, const integration::order_verdict& verdict) {
    std::printf("\nseed %llu: orders %zu, starts %zu, repeats %zu", static_cast<unsigned long long>(seed),
                verdict.orders, verdict.starts, figures.repeats);
    for (const auto& [fault, number] : figures.faults) {
        std::printf(", %s %zu", fault.c_str(), number);
    }
    for (const auto& [outcome, number] : verdict.outcomes) {
        std::printf(", %s %zu", outcome.c_str(), number);
    }
    std::printf("; once unknown %zu", figures.once_unknown);
    for (const auto& [outcome, number] : figures.resolved) {
        std::printf(", of them %s %zu", outcome.c_str(), number);
    }
    std::printf("; unknown that started %zu; violations %zu", verdict.unknown_started, verdict.violations.size());
    for (const auto& violation : verdict.violations) {
        std::printf("\n    violation: %s", violation.c_str());
    }
    std::fflush(stdout);
}

/*! @brief Runs one seed and returns the number of broken promises. */
[[nodiscard]] std::size_t run_seed(const std::uint64_t seed) {
    standin::cluster system{integration::order_cluster(3U, 20'000U, seed)};
    integration::start_order_cluster(system);
    order_trial trial{system};
    std::map<std::string, std::size_t> faults{{"kills", 0U}, {"freezes", 0U}, {"cuts", 0U}, {"outages", 0U}};
    {
        std::vector<std::thread> threads{};
        for (std::size_t number = 0U; number < caller_count; ++number) {
            threads.emplace_back([&, number] { caller{system, trial, seed * 1'000U + number}.run(); });
        }
        // Entry processes end with the thread that started them, so the faults strike from this one.
        fault_schedule{system, seed, faults}.run();
        for (auto& thread : threads) {
            thread.join();
        }
    }
    if (!integration::wait_all_known(system, soon)) {
        for (std::size_t entry = 0U; entry < system.entries(); ++entry) {
            std::printf("\nseed %llu, %s: running %d, state %s\n%s", static_cast<unsigned long long>(seed),
                        system.entry_id(entry).c_str(), system.entry(entry).running() ? 1 : 0,
                        system.state(entry).dump().c_str(), system.entry(entry).output().c_str());
        }
        FAIL("an instance does not recover");
    }
    std::vector<std::size_t> entries{};
    for (std::size_t entry = 0U; entry < system.entries(); ++entry) {
        entries.push_back(entry);
    }
    // A repeat after the faults must not run an order again.
    for (std::size_t order = 0U; order < trial.size(); ++order) {
        trial.submit(order, order % entries.size(), order_timeout);
    }
    trial.settle(entries, settle_time);
    const auto verdict = trial.judge();
    auto figures = count_records(trial, trial.size());
    figures.faults = std::move(faults);
    print(seed, figures, verdict);
    return verdict.violations.size();
}

} // namespace

TEST_GROUP(random_orders){};

// Guards against combinations of faults that make an order run twice or an outcome untrue.
TEST(random_orders, no_schedule_of_faults_breaks_a_promise) {
    const auto first = environment_number("MANGOPULLEY_FIRST_SEED", 1U);
    const auto seeds = environment_number("MANGOPULLEY_SEEDS", 2U);
    std::size_t violations = 0U;
    for (auto seed = first; seed < first + seeds; ++seed) {
        violations += run_seed(seed);
    }
    CHECK_EQUAL(0U, violations);
}
