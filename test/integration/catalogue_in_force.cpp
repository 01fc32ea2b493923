#include <array>
#include <csignal>
#include <memory>
#include <string>
#include <vector>

#include "control_plane.hpp"

#include <CppUTest/TestHarness.h>

namespace {

using control_plane::milliseconds;
using control_plane::test_clock;
using standin::cluster;

// Bounds from sections 1.1 and 4.1 of the design.
constexpr milliseconds in_force_limit{5'000};
constexpr milliseconds serving_limit{4'500};
constexpr milliseconds recovery_limit{10'000};
constexpr std::size_t affected = 1U;
constexpr std::size_t instances = 5U;

[[nodiscard]] std::string catalogue(const int worth) {
    return "services:\n  - name: seals\n    owner: tests\n    kinds:\n"
           "      - {name: read, idempotent: true, timeout_ms: 1000, worth: " +
           std::to_string(worth) + "}\n";
}

[[nodiscard]] std::vector<std::size_t> all_instances() {
    return {0U, 1U, 2U, 3U, 4U};
}

[[nodiscard]] std::vector<std::size_t> all_but_affected() {
    return {0U, 2U, 3U, 4U};
}

[[nodiscard]] bool says_not_serving(const standin::http_result& reply) {
    return reply.status == 503 && reply.header("Mangopulley-Outcome") == "not-run" &&
           reply.json().value("type", "").ends_with("not-serving");
}

[[nodiscard]] std::string describe(const standin::http_result& reply) {
    return "status " + std::to_string(reply.status) + ' ' + reply.failure + ' ' + reply.body;
}

/*! @brief Fault that begins before an edit and ends after it. */
struct fault_case {
    const char* name;
    void (*begin)(cluster& fleet);
    /*! @brief Instances that must put the edit in force while the fault lasts. */
    std::vector<std::size_t> (*serving)();
    /*! @brief Whether the fault lasts past the time at which the edit must be in force everywhere. */
    bool lasts;
    void (*end)(cluster& fleet);
};

void no_action(cluster& /*fleet*/) {}

void cut_store(cluster& fleet) {
    fleet.set_store_link(affected, {{"cut", "both"}});
}

void cut_store_and_peers(cluster& fleet) {
    cut_store(fleet);
    fleet.set_partition({affected}, all_but_affected(), {{"cut", "both"}});
    const auto isolated = test_clock::now();
    // The bound applies to the time at which a request is sent: it is decided then or later.
    auto last_served = isolated;
    std::string last_reply{};
    const auto stopped = [&] {
        const auto sent = test_clock::now();
        const auto reply = fleet.request(affected, "seals", "read", "x");
        if (says_not_serving(reply)) {
            return true;
        }
        last_served = sent;
        last_reply = describe(reply);
        return false;
    };
    const bool ended = standin::wait_until(stopped, recovery_limit);
    const auto report = "the instance that was cut off never stops serving: " + last_reply +
                        (ended ? std::string{} : '\n' + fleet.entry(affected).output());
    CHECK_TRUE_TEXT(ended, report.c_str());
    CHECK_TRUE_TEXT(last_served - isolated <= serving_limit, "the instance that was cut off serves after 4.5 s");
}

const std::array<fault_case, 6U> faults{{
    {"no fault", no_action, all_instances, false, no_action},
    {"killed and restarted empty", [](cluster& fleet) { fleet.entry(affected).kill(); }, all_but_affected, false,
     [](cluster& fleet) { fleet.start_entry(affected); }},
    {"frozen and woken", [](cluster& fleet) { CHECK_TRUE(fleet.entry(affected).freeze()); }, all_but_affected, true,
     [](cluster& fleet) { fleet.entry(affected).wake(); }},
    {"cut from the store", cut_store, all_instances, true,
     [](cluster& fleet) {
         fleet.set_store_link(affected, {{"cut", "none"}, {"reset_connections", true}});
     }},
    {"cut from the store and the peers", cut_store_and_peers, all_but_affected, true,
     [](cluster& fleet) {
         fleet.set_store_link(affected, {{"cut", "none"}, {"reset_connections", true}});
         fleet.set_partition({affected}, all_but_affected(), {{"cut", "none"}, {"reset_connections", true}});
     }},
    {"store slow",
     [](cluster& fleet) {
         fleet.set_store_faults({{"delay_ms", 200}, {"jitter_ms", 100}});
     },
     all_instances, true,
     [](cluster& fleet) {
         fleet.set_store_faults({{"delay_ms", 0}, {"jitter_ms", 0}});
     }},
}};

// One zone, so that two instances watch the store and the other three learn from them.
[[nodiscard]] standin::cluster_options options() {
    standin::cluster_options chosen{};
    chosen.binary_folder = MANGOPULLEY_BINARY_DIR;
    chosen.entries = instances;
    chosen.zones = {"zone-a"};
    chosen.services = {{"seals", 2U, {"--service-time-us", "1000"}}};
    chosen.link_store = true;
    chosen.link_peers = true;
    return chosen;
}

/*! @brief Waits until instances serve with a version; a failure names what each of them said last. */
void check_in_force(cluster& fleet, const control_plane::version_watch& watch, const std::vector<std::size_t>& expected,
                    const std::uint64_t version, const milliseconds limit, const std::string& name) {
    const bool in_force = watch.wait_in_force(expected, version, limit);
    std::string message = name + ": " + watch.describe();
    for (const auto index : in_force ? std::vector<std::size_t>{} : expected) {
        message += fleet.entry(index).running() ? "" : "ended: " + fleet.entry(index).output();
    }
    CHECK_TRUE_TEXT(in_force, message.c_str());
}

void check_spread(const fault_case& tested) {
    cluster fleet{options()};
    CHECK_TRUE_TEXT(control_plane::start(fleet, catalogue(1)), tested.name);
    const control_plane::version_watch watch{fleet};
    check_in_force(fleet, watch, all_instances(), 1U, control_plane::start_limit, tested.name);

    tested.begin(fleet);
    CHECK_TRUE_TEXT(control_plane::apply(fleet, catalogue(2), 1U).exit_code == 0, tested.name);
    const auto accepted = test_clock::now();
    check_in_force(fleet, watch, tested.serving(), 2U, in_force_limit, tested.name);
    if (tested.lasts) {
        const auto past_limit = accepted + in_force_limit + milliseconds{500};
        CHECK_TRUE(standin::wait_until([&] { return test_clock::now() >= past_limit; }, recovery_limit));
    }
    tested.end(fleet);
    check_in_force(fleet, watch, all_instances(), 2U, recovery_limit, tested.name);
    const auto late = watch.find_late(2U, accepted + in_force_limit);
    CHECK_TRUE_TEXT(late.empty(), (tested.name + (": " + late)).c_str());
    const auto regression = watch.find_regression();
    CHECK_TRUE_TEXT(regression.empty(), (tested.name + (": " + regression)).c_str());
}

/*! @brief Edits that the store keeps, from `mangopulley catalogue history`. */
[[nodiscard]] nlohmann::json history(cluster& fleet) {
    const auto listed = fleet.run({"catalogue", "history", "--json", "--store", fleet.store().address()});
    CHECK_TRUE(listed.exit_code == 0);
    return nlohmann::json::parse(listed.output, nullptr, false);
}

[[nodiscard]] std::size_t edits_by(const nlohmann::json& kept, const std::string& name) {
    std::size_t count{};
    for (const auto& edit : kept.at("edits")) {
        count += edit.at("operator") == name ? 1U : 0U;
    }
    return count;
}

} // namespace

TEST_GROUP(catalogue_in_force){};

// Guards against an edit that an instance misses for longer than 5 s, or loses again, under each fault of the table.
TEST(catalogue_in_force, spreads_without_fault) {
    check_spread(faults[0U]);
}

TEST(catalogue_in_force, spreads_when_an_instance_is_restarted_empty) {
    check_spread(faults[1U]);
}

TEST(catalogue_in_force, spreads_when_an_instance_is_frozen_and_woken) {
    check_spread(faults[2U]);
}

TEST(catalogue_in_force, spreads_when_an_instance_is_cut_from_the_store) {
    check_spread(faults[3U]);
}

TEST(catalogue_in_force, stops_an_instance_cut_from_store_and_peers) {
    check_spread(faults[4U]);
}

TEST(catalogue_in_force, spreads_when_the_store_is_slow) {
    check_spread(faults[5U]);
}

// Guards against an exit code that tells the operator something else than what the store did.
TEST(catalogue_in_force, tells_the_truth_after_a_lost_reply) {
    cluster fleet{options()};
    CHECK_TRUE(control_plane::start(fleet, catalogue(1)));
    const control_plane::version_watch watch{fleet};
    fleet.set_store_faults({{"lose_reply", 1}});
    const auto edit = control_plane::apply(fleet, catalogue(2), 1U, "unlucky");
    CHECK_EQUAL(1U, fleet.store_counts().at("lost_replies").get<unsigned>());
    CHECK_TRUE(edit.exit_code.has_value());
    const auto kept = history(fleet);
    const bool accepted = kept.at("version") == 2U;
    // The store took the write, so that 0 is the right answer and 5 is an honest one; 1 and 4 would be wrong.
    CHECK_TRUE(accepted);
    CHECK_EQUAL(1U, edits_by(kept, "unlucky"));
    CHECK_TRUE_TEXT(*edit.exit_code == 0 || *edit.exit_code == 5, edit.output.c_str());
    check_in_force(fleet, watch, all_instances(), 2U, in_force_limit, "edit");
    STRCMP_EQUAL("", watch.find_regression().c_str());
}

// Guards against two edits of one version that are both accepted, so that the second undoes the first unseen.
TEST(catalogue_in_force, lets_one_of_two_operators_win) {
    cluster fleet{options()};
    CHECK_TRUE(control_plane::start(fleet, catalogue(1)));
    const control_plane::version_watch watch{fleet};
    std::vector<std::unique_ptr<standin::process>> operators{};
    for (const int worth : {7, 8}) {
        const auto name = "operator-" + std::to_string(worth);
        const auto file = fleet.folder() / (name + ".yaml");
        std::ofstream{file} << catalogue(worth);
        operators.push_back(std::make_unique<standin::process>(
            std::filesystem::path{MANGOPULLEY_BINARY_DIR} / "mangopulley",
            std::vector<std::string>{"catalogue", "apply", "--store", fleet.store().address(), "--operator", name,
                                     "--based-on", "1", file.string()},
            fleet.folder() / (name + ".out")));
    }
    std::vector<int> codes{};
    codes.reserve(operators.size());
    for (const auto& one : operators) {
        codes.push_back(one->wait_exit(control_plane::start_limit).value_or(-1));
    }
    CHECK_TRUE((codes == std::vector<int>{0, 4}) || (codes == std::vector<int>{4, 0}));
    const std::size_t loser = codes[0U] == 4 ? 0U : 1U;
    const auto told = operators[loser]->output();
    const std::string winning_worth = loser == 0U ? "8" : "7";
    CHECK_TRUE_TEXT(told.find("worth") != std::string::npos && told.find(winning_worth) != std::string::npos,
                    told.c_str());
    check_in_force(fleet, watch, all_instances(), 2U, in_force_limit, "edit");
    CHECK_TRUE(history(fleet).at("version") == 2U);
    STRCMP_EQUAL("", watch.find_regression().c_str());
}

// Guards against an instance that starts during an outage and serves under an old catalogue, or not at all.
TEST(catalogue_in_force, restarts_empty_while_the_store_is_down) {
    cluster fleet{options()};
    CHECK_TRUE(control_plane::start(fleet, catalogue(1)));
    const control_plane::version_watch watch{fleet};
    CHECK_TRUE(control_plane::apply(fleet, catalogue(2), 1U).exit_code == 0);
    check_in_force(fleet, watch, all_instances(), 2U, in_force_limit, "edit");
    fleet.set_store_faults({{"down", true}});
    const auto refused = control_plane::apply(fleet, catalogue(3), 2U);
    CHECK_TRUE(refused.exit_code.has_value() && *refused.exit_code != 0);
    fleet.entry(affected).kill();
    fleet.start_entry(affected);
    const auto restarted = test_clock::now();
    check_in_force(fleet, watch, all_instances(), 2U, control_plane::start_limit, "restarted");
    STRCMP_EQUAL("", watch.find_late(2U, restarted).c_str());
    fleet.set_store_faults({{"down", false}});
    CHECK_TRUE(standin::wait_until([&] { return control_plane::apply(fleet, catalogue(3), 2U).exit_code == 0; },
                                   recovery_limit));
    check_in_force(fleet, watch, all_instances(), 3U, in_force_limit, "edit");
    STRCMP_EQUAL("", watch.find_regression().c_str());
}
