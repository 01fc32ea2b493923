#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdio>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>
#include <standin/common/cluster.hpp>
#include <standin/common/wait_until.hpp>

#include "order_trial.hpp"

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using integration::order_trial;
using std::chrono::milliseconds;

constexpr std::size_t wave = 24U;
constexpr std::size_t target_count = 3U;
constexpr milliseconds order_timeout{1500};
constexpr milliseconds soon{20'000};

/*! @brief A cluster whose home and witnesses are known by their number, with the callers of one row. */
class scene {
public:
    explicit scene(const std::size_t service_time_us)
        : system{integration::order_cluster(target_count, service_time_us, 1U)} {
        integration::start_order_cluster(this->system);
        this->read_token();
    }
    scene(const scene&) = delete;
    scene& operator=(const scene&) = delete;
    ~scene() { this->join(); }

    /*! @brief Takes an address list that names running processes: the home and the witnesses of the next orders. */
    void read_token() {
        if (!standin::wait_until([this] { return this->try_read_token(); }, soon, 50ms)) {
            throw std::runtime_error{"no instance lists a home and witnesses that run"};
        }
        this->others.clear();
        for (std::size_t entry = 0U; entry < this->system.entries(); ++entry) {
            if (entry != this->home) {
                this->others.push_back(entry);
            }
        }
    }

    /*! @brief Starts a wave of orders, each sent by one caller and 100 ms later by another through another instance. */
    void launch() {
        for (std::size_t number = 0U; number < wave; ++number) {
            const auto order = this->orders.add(this->token);
            const auto first = number % 2U == 0U ? this->home : this->other(number);
            this->callers.emplace_back([this, order, number, first] {
                std::this_thread::sleep_for(20ms * number);
                this->orders.submit(order, first, order_timeout);
                this->orders.submit(order, this->other(number + 2U), order_timeout);
            });
            this->callers.emplace_back([this, order, number] {
                std::this_thread::sleep_for(20ms * number + 100ms);
                this->orders.submit(order, this->other(number + 1U), order_timeout);
            });
        }
    }

    void join() {
        for (auto& caller : this->callers) {
            caller.join();
        }
        this->callers.clear();
    }

    [[nodiscard]] std::size_t starts() const {
        const auto events = this->system.journal(integration::order_service_name);
        return static_cast<std::size_t>(std::count_if(
            events.begin(), events.end(), [](const nlohmann::json& event) { return event.at("event") == "start"; }));
    }

    /*! @brief Waits until targets work on orders. */
    void wait_starts(const std::size_t more) {
        const auto enough = this->starts() + more;
        if (!standin::wait_until([&] { return this->starts() >= enough; }, soon, 5ms)) {
            throw std::runtime_error{"no order started"};
        }
    }

    [[nodiscard]] std::size_t other(const std::size_t number) const {
        return this->others.at(number % this->others.size());
    }

    void restart(const std::size_t entry) {
        this->system.start_entry(entry);
        if (!integration::wait_all_known(this->system, soon)) {
            throw std::runtime_error{"a restarted instance is not known to the others"};
        }
    }

    void set_targets(const nlohmann::json& behaviour) {
        for (std::size_t target = 0U; target < target_count; ++target) {
            this->system.set_target(integration::order_service_name, target, behaviour);
        }
    }

    /*! @brief Sets the faults of all links from the home and of all links to it. */
    void set_links(const nlohmann::json& outgoing, const nlohmann::json& incoming) {
        for (const auto entry : this->others) {
            this->system.set_peer_link(this->home, entry, outgoing);
            this->system.set_peer_link(entry, this->home, incoming);
        }
    }

    standin::cluster system;
    order_trial orders{this->system};
    std::string token{};
    std::size_t home{};
    std::array<std::size_t, 2U> witnesses{};
    std::vector<std::size_t> others{};

private:
    [[nodiscard]] bool try_read_token() {
        std::map<std::string, std::size_t> numbers{};
        std::optional<integration::address_list> list{};
        for (std::size_t entry = 0U; entry < this->system.entries(); ++entry) {
            const auto state = this->system.state(entry);
            if (state.is_object()) {
                numbers[state.at("instance").at("incarnation").get<std::string>()] = entry;
                list = list ? list : integration::list_addresses(this->system, entry);
            }
        }
        constexpr std::size_t id_digits = 16U;
        std::array<std::size_t, 3U> named{};
        for (std::size_t index = 0U; index < named.size(); ++index) {
            const auto found =
                list ? numbers.find(list->token.substr(index * (id_digits + 1U), id_digits)) : numbers.end();
            if (found == numbers.end()) {
                return false;
            }
            named[index] = found->second;
        }
        this->token = list->token;
        this->home = named[0U];
        this->witnesses = {named[1U], named[2U]};
        return true;
    }

    std::vector<std::thread> callers{};
};

void do_nothing(scene& /*unused*/) {}

void kill_home(scene& stage) {
    stage.wait_starts(2U);
    stage.system.entry(stage.home).kill();
}
void restart_home(scene& stage) {
    stage.restart(stage.home);
}

void freeze_home(scene& stage) {
    stage.wait_starts(2U);
    CHECK_TRUE(stage.system.entry(stage.home).freeze());
}
void wake_home(scene& stage) {
    stage.system.entry(stage.home).wake();
}

void cut_both_ways(scene& stage) {
    stage.wait_starts(2U);
    stage.set_links({{"cut", "both"}}, {{"cut", "both"}});
}
void cut_what_home_sends(scene& stage) {
    stage.wait_starts(2U);
    stage.set_links({{"cut", "to_server"}}, {{"cut", "to_client"}});
}
void cut_what_home_receives(scene& stage) {
    stage.wait_starts(2U);
    stage.set_links({{"cut", "to_client"}}, {{"cut", "to_server"}});
}
void lift_cuts(scene& stage) {
    stage.set_links({{"cut", "none"}}, {{"cut", "none"}});
}

void stop_store(scene& stage) {
    stage.wait_starts(2U);
    stage.system.set_store_faults({{"down", true}});
}
void stop_store_for_long(scene& stage) {
    stop_store(stage);
    stage.join();
    // Longer than a confirmation holds, so that the second wave is served in the state `store_outage`.
    std::this_thread::sleep_for(6s);
    stage.read_token();
    stage.launch();
}
void slow_store(scene& stage) {
    stage.wait_starts(2U);
    stage.system.set_store_faults({{"delay_ms", 400}});
}
void heal_store(scene& stage) {
    stage.system.set_store_faults({{"down", false}, {"delay_ms", 0}});
}

void kill_home_without_store(scene& stage) {
    stop_store(stage);
    kill_home(stage);
}
void heal_store_and_home(scene& stage) {
    heal_store(stage);
    restart_home(stage);
}

void kill_home_and_witness(scene& stage) {
    kill_home(stage);
    stage.system.entry(stage.witnesses[0U]).kill();
}
void restart_home_and_witness(scene& stage) {
    stage.system.start_entry(stage.witnesses[0U]);
    stage.restart(stage.home);
}

void kill_home_twice(scene& stage) {
    kill_home(stage);
    stage.join();
    stage.restart(stage.home);
    stage.read_token();
    stage.launch();
    kill_home(stage);
}

void cut_answers(scene& stage) {
    stage.set_targets({{"cut_body", "length"}});
}
void whole_answers(scene& stage) {
    stage.set_targets({{"cut_body", "none"}});
}
void silence_targets(scene& stage) {
    stage.set_targets({{"never_answer", true}});
}
void unsilence_targets(scene& stage) {
    stage.set_targets({{"never_answer", false}});
}
void shed_at_one(scene& stage) {
    stage.system.set_target(integration::order_service_name, 0U, {{"shed_percent", 100}});
}
void copy_answers(scene& stage) {
    stage.set_targets({{"shed_percent", 40}, {"late_copies", 1'000'000}});
}
void copy_no_answers(scene& stage) {
    stage.set_targets({{"shed_percent", 0}, {"late_copies", 0}});
}
void lose_replies(scene& stage) {
    stage.wait_starts(1U);
    stage.set_links({{"lose_reply", 0}}, {{"lose_reply", 4}});
}

/*! @brief Sets all links of one other instance, the one to the store too. */
void set_links_of_other(scene& stage, const char* cut) {
    const auto entry = stage.other(0U);
    for (std::size_t peer = 0U; peer < stage.system.entries(); ++peer) {
        if (peer != entry) {
            stage.system.set_partition({entry}, {peer}, {{"cut", cut}});
        }
    }
    stage.system.set_store_link(entry, {{"cut", cut}});
}
void isolate_other(scene& stage) {
    set_links_of_other(stage, "both");
    const auto isolated = [&stage] {
        const auto state = stage.system.state(stage.other(0U));
        return state.is_object() && !state.at("catalogue").at("serving").get<bool>();
    };
    CHECK_TRUE(standin::wait_until(isolated, soon, 50ms));
}
void join_other(scene& stage) {
    set_links_of_other(stage, "none");
}
void check_isolated_was_asked(scene& stage) {
    CHECK_TRUE(stage.orders.judge().told["unknown not-serving"] > 0U);
}

// The retry budget lets the home try another target for a tenth of its orders; it tells the others `not-run` with a
// fresh token, under which each is answered in the end.
void check_shed_orders_move(scene& stage) {
    std::map<std::string, std::string> sheds{};
    std::size_t moved = 0U;
    for (const auto& event : stage.system.journal(integration::order_service_name)) {
        if (event.at("event") == "shed") {
            sheds[event.at("digest")] = event.at("target");
        }
    }
    for (const auto& event : stage.system.journal(integration::order_service_name)) {
        const auto shed = sheds.find(event.at("digest"));
        if (event.at("event") == "start" && shed != sheds.end()) {
            CHECK_TRUE(shed->second != event.at("target"));
            ++moved;
        }
    }
    CHECK_TRUE(moved > 0U);
    constexpr std::size_t most_tries = 20U;
    for (std::size_t order = 0U; order < wave; ++order) {
        auto told = stage.orders.record(order).told.back();
        for (std::size_t tries = 0U; tries < most_tries && told.outcome == "not-run"; ++tries) {
            const auto token = nlohmann::json::parse(told.body).at("order_token").get<std::string>();
            told = stage.orders.submit(stage.orders.add(token), stage.home, order_timeout);
        }
        CHECK_TRUE(told.outcome == "answered");
    }
}

void check_answers_came_twice(scene& stage) {
    std::size_t copies = 0U;
    std::size_t refusals = 0U;
    for (std::size_t target = 0U; target < target_count; ++target) {
        const auto counts = stage.system.target_counts(integration::order_service_name, target);
        copies += counts.at("late_copies").get<std::size_t>();
        refusals += counts.at("shed").get<std::size_t>();
    }
    CHECK_TRUE(copies > 0U && refusals > 0U);
}

/*! @brief One fault or pair of faults, and the least numbers of outcomes that show that it took effect. */
struct fault_row {
    const char* name{};
    /*! @brief Called before the callers start, or after when `during` is set. */
    void (*strike)(scene&){};
    void (*heal)(scene&){};
    bool during{};
    std::size_t answered{};
    std::size_t unknown{};
    std::size_t not_run{};
    /*! @brief Further checks of the row, called before the journals are judged. */
    void (*check)(scene&){};
};

// With these targets about 40 orders a second finish, so that a wave keeps the targets at work for over half a second.
constexpr std::size_t slow_target_us = 150'000U;

void print(const fault_row& row, const integration::order_verdict& verdict) {
    std::printf("\n%s: orders %zu, starts %zu, unknown that started %zu", row.name, verdict.orders, verdict.starts,
                verdict.unknown_started);
    for (const auto& [outcome, number] : verdict.outcomes) {
        std::printf(", %s %zu", outcome.c_str(), number);
    }
    std::printf("; told");
    for (const auto& [outcome, number] : verdict.told) {
        std::printf(" %s %zu,", outcome.c_str(), number);
    }
    for (const auto& violation : verdict.violations) {
        std::printf("\n    violation: %s", violation.c_str());
    }
    std::fflush(stdout);
}

void run_row(const fault_row& row) {
    scene stage{slow_target_us};
    if (row.during) {
        stage.launch();
        row.strike(stage);
    } else {
        row.strike(stage);
        stage.launch();
    }
    stage.join();
    row.heal(stage);
    // A repeat after the fault must not run an order again.
    for (std::size_t order = 0U; order < stage.orders.size(); ++order) {
        stage.orders.submit(order, stage.other(order), order_timeout);
    }
    stage.orders.settle(stage.others, 6s);
    if (row.check != nullptr) {
        row.check(stage);
    }
    const auto verdict = stage.orders.judge();
    print(row, verdict);
    if (!verdict.violations.empty()) {
        FAIL((std::string{row.name} + ": " + verdict.violations.front()).c_str());
    }
    const auto count = [&verdict](const char* outcome) {
        const auto found = verdict.outcomes.find(outcome);
        return found == verdict.outcomes.end() ? std::size_t{0U} : found->second;
    };
    CHECK_TRUE_TEXT(count("answered") >= row.answered, row.name);
    CHECK_TRUE_TEXT(count("unknown") >= row.unknown, row.name);
    CHECK_TRUE_TEXT(count("not-run") >= row.not_run, row.name);
}

} // namespace

TEST_GROUP(orders_under_faults){};

// Each test guards against orders that run twice, `not-run` told of an order that ran, and answers that are cut or
// another request's, under the fault that it names.
TEST(orders_under_faults, no_fault) {
    run_row({"no fault", do_nothing, do_nothing, false, wave, 0U, 0U});
}
TEST(orders_under_faults, home_killed) {
    run_row({"home killed", kill_home, restart_home, true, 0U, 1U, 1U});
}
TEST(orders_under_faults, home_frozen_and_woken) {
    run_row({"home frozen and woken", freeze_home, wake_home, true, 0U, 1U, 1U});
}
TEST(orders_under_faults, home_cut_both_ways) {
    run_row({"home cut both ways", cut_both_ways, lift_cuts, true, 1U, 0U, 1U});
}
TEST(orders_under_faults, what_the_home_sends_is_lost) {
    run_row({"what the home sends is lost", cut_what_home_sends, lift_cuts, true, 1U, 0U, 0U});
}
TEST(orders_under_faults, what_the_home_receives_is_lost) {
    run_row({"what the home receives is lost", cut_what_home_receives, lift_cuts, true, 1U, 0U, 0U});
}
TEST(orders_under_faults, store_down) {
    run_row({"store down", stop_store, heal_store, true, wave, 0U, 0U});
}
TEST(orders_under_faults, store_down_for_long) {
    run_row({"store down for long", stop_store_for_long, heal_store, true, 2U * wave, 0U, 0U});
}
TEST(orders_under_faults, store_slow) {
    run_row({"store slow", slow_store, heal_store, true, wave, 0U, 0U});
}
TEST(orders_under_faults, home_killed_while_the_store_is_down) {
    run_row({"home killed while the store is down", kill_home_without_store, heal_store_and_home, true, 0U, 1U, 1U});
}
TEST(orders_under_faults, home_and_a_witness_killed) {
    run_row({"home and a witness killed", kill_home_and_witness, restart_home_and_witness, true, 0U, 1U, 0U});
}
TEST(orders_under_faults, home_killed_twice) {
    run_row({"home killed twice", kill_home_twice, restart_home, true, 0U, 2U, 1U});
}
TEST(orders_under_faults, answer_cut) {
    run_row({"answer cut", cut_answers, whole_answers, false, 0U, wave, 0U});
}
TEST(orders_under_faults, target_never_answers) {
    run_row({"target never answers", silence_targets, unsilence_targets, false, 0U, 1U, 0U});
}
TEST(orders_under_faults, one_target_sheds) {
    run_row({"one target sheds", shed_at_one, do_nothing, false, wave, 0U, 0U, check_shed_orders_move});
}
TEST(orders_under_faults, answers_and_refusals_come_twice) {
    run_row({"answers and refusals come twice", copy_answers, copy_no_answers, false, 1U, 0U, 0U,
             check_answers_came_twice});
}
TEST(orders_under_faults, replies_of_the_home_lost) {
    run_row({"replies of the home lost", lose_replies, do_nothing, true, wave, 0U, 0U});
}
TEST(orders_under_faults, repeats_reach_an_isolated_instance) {
    run_row({"repeats reach an isolated instance", isolate_other, join_other, false, wave, 0U, 0U,
             check_isolated_was_asked});
}
