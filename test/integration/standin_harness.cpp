#include <chrono>
#include <csignal>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>
#include <standin/common/cluster.hpp>
#include <standin/common/free_ports.hpp>
#include <standin/common/process.hpp>
#include <standin/common/temporary_folder.hpp>
#include <standin/common/wait_until.hpp>

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

// Upper bound for what must happen soon; a busy machine can stall a process for seconds.
constexpr milliseconds soon{10'000};

[[nodiscard]] standin::cluster_options small_cluster() {
    standin::cluster_options options{};
    options.binary_folder = MANGOPULLEY_BINARY_DIR;
    options.entries = 2U;
    options.services = {{"proof", 2U, {"--service-time-us", "1000"}}};
    options.link_store = true;
    options.link_peers = true;
    return options;
}

} // namespace

TEST_GROUP(standin_harness) {
    standin::temporary_folder folder{};

    [[nodiscard]] standin::standin_program start(const std::string& name,
                                                 const std::vector<std::string>& arguments = {}) const {
        return {MANGOPULLEY_BINARY_DIR, name, arguments, this->folder.path()};
    }
};

// Guards against proxies that show no fault, a wrong one, or go on with it after it was lifted.
TEST(standin_harness, proxy_shows_faults_and_lifts_them) {
    struct fault_case {
        const char* name;
        nlohmann::json faults;
        nlohmann::json lifted;
        bool passes;
        milliseconds at_least;
    };
    const std::vector<fault_case> cases{
        {"none", {{"cut", "none"}}, {{"cut", "none"}}, true, 0ms},
        {"delay", {{"delay_ms", 100}}, {{"delay_ms", 0}}, true, 200ms},
        {"delay one way", {{"delay_ms", {{"to_client", 150}}}}, {{"delay_ms", 0}}, true, 150ms},
        {"cut to the server", {{"cut", "to_server"}}, {{"cut", "none"}}, false, 300ms},
        {"cut to the client", {{"cut", "to_client"}}, {{"cut", "none"}}, false, 300ms},
        {"cut both ways", {{"cut", "both"}}, {{"cut", "none"}}, false, 300ms},
        {"hold", {{"hold", "both"}}, {{"hold", "none"}}, false, 300ms},
        {"refuse", {{"refuse", true}}, {{"refuse", false}}, false, 0ms},
        {"reset", {{"reset_after_bytes", 20}}, {{"reset_after_bytes", 0}}, false, 0ms},
        {"lost reply", {{"lose_reply", 1}}, {{"lose_reply", 0}}, false, 0ms},
        {"random delay", {{"reorder_ms", 50}}, {{"reorder_ms", 0}}, true, 0ms},
    };
    const auto director = this->start("director");
    const auto proxy = this->start("fault_proxy", {"--to", director.address()});
    for (const auto& fault : cases) {
        standin::control(proxy.control_address(), "/control", fault.faults);
        const auto begin = std::chrono::steady_clock::now();
        const auto limit = fault.passes ? soon : milliseconds{300};
        const auto result = standin::http_post(proxy.address(), "/alerts", R"({"limit":"x"})", {{}, limit});
        CHECK_TRUE_TEXT((result.status == 200) == fault.passes, fault.name);
        CHECK_TRUE_TEXT(std::chrono::steady_clock::now() - begin >= fault.at_least, fault.name);
        standin::control(proxy.control_address(), "/control", fault.lifted);
        CHECK_EQUAL_TEXT(200, standin::http_post(proxy.address(), "/alerts", "{}").status, fault.name);
    }
}

// Guards against programs left behind, and against waits without bound for programs that do not end or start.
TEST(standin_harness, process_is_controlled_and_ends) {
    auto store = this->start("store");
    CHECK_TRUE(store.program().freeze());
    CHECK_EQUAL(0, standin::http_get(store.address(), "/v1/list", {{}, 200ms}).status);
    store.program().wake();
    CHECK_EQUAL(200, standin::http_get(store.address(), "/v1/list", {{}, soon}).status);
    store.program().signal(SIGTERM);
    CHECK_TRUE(store.program().wait_exit(soon) == 0);
    const auto output = this->folder.path() / "wrong";
    const std::filesystem::path program = std::string{MANGOPULLEY_BINARY_DIR} + "/test/standin_store";
    standin::process usage{program, {"--no-such-option"}, output};
    CHECK_FALSE(usage.wait_ready(soon));
    CHECK_TRUE(usage.wait_exit(soon).has_value() && usage.wait_exit(soon) != 0);
}

// Guards against a cluster that shows the entry processes other addresses than those of their own proxies.
TEST(standin_harness, cluster_leads_each_reader_through_its_own_proxies) {
    standin::cluster cluster{small_cluster()};
    const auto entry_addresses = [&](const std::string& reader) {
        std::vector<std::string> addresses{};
        const auto list = standin::read_json(reader, "/v1/instances");
        for (const auto& instance : list.at("instances")) {
            if (instance.at("role") == "entry") {
                addresses.push_back(instance.at("address"));
            }
        }
        return addresses;
    };
    const std::vector<std::string> real{cluster.peer_address(0U), cluster.peer_address(1U)};
    CHECK_TRUE(entry_addresses(cluster.store().address()) == real);
    const auto seen = entry_addresses(cluster.store_address(0U));
    CHECK_TRUE(seen.at(0U) == real[0U] && seen.at(1U) != real[1U]);
    const auto seen_by_other = entry_addresses(cluster.store_address(1U));
    CHECK_TRUE(seen_by_other.at(1U) == real[1U] && seen_by_other.at(0U) != real[0U]);
    cluster.set_store_link(0U, {{"refuse", true}});
    CHECK_EQUAL(0, standin::http_get(cluster.store_address(0U), "/v1/instances").status);
    CHECK_EQUAL(200, standin::http_get(cluster.store_address(1U), "/v1/instances").status);
    cluster.set_partition({0U}, {1U}, {{"cut", "both"}});
    cluster.set_instance_state(cluster.target_id("proof", 1U), "leaving");
    const auto list = standin::read_json(cluster.store().address(), "/v1/instances");
    CHECK_EQUAL(2, list.at("revision").get<int>());
    CHECK_TRUE(list.at("instances").back().at("state") == "leaving");
}

// Guards against a cut that an instance evades through the proxies of another one, whose list it pulled because it
// heard that instance before the store.
TEST(standin_harness, cluster_keeps_each_instance_on_its_own_proxies_when_its_store_is_late) {
    auto options = small_cluster();
    // Longer than a heartbeat period, so that the other instance sends a heartbeat before the store answers.
    const milliseconds delay{1'500};
    options.store_timeout = 2 * delay;
    standin::cluster cluster{options};
    cluster.set_store_link(1U, {{"delay_ms", {{"to_client", delay.count()}}}});
    cluster.start_entries();
    const auto expected = standin::read_json(cluster.store_address(1U), "/v1/instances").at("instances").at(0U);
    CHECK_TRUE(expected.at("id") == cluster.entry_id(0U));
    std::string peer{};
    const auto knows_other = [&] {
        const auto state = cluster.state(1U);
        if (!state.is_object()) {
            return false;
        }
        for (const auto& member : state.at("members").at("members")) {
            if (member.at("instance") == cluster.entry_id(0U)) {
                peer = member.at("peer");
            }
        }
        return !peer.empty();
    };
    CHECK_TRUE(standin::wait_until(knows_other, soon));
    STRCMP_EQUAL(expected.at("address").get<std::string>().c_str(), peer.c_str());
}

// Guards against a command, a target, a journal or the director that the harness does not reach.
TEST(standin_harness, cluster_starts_programs_and_reports_their_end) {
    standin::cluster cluster{small_cluster()};
    const auto result = cluster.run({"--version"}, soon);
    CHECK_TRUE(result.exit_code.has_value());
    const auto address = cluster.target("proof", 0U).address();
    const standin::http_options options{{{"Request-Id", "r1"}}, soon};
    CHECK_EQUAL(200, standin::http_post(address, "/work/seal", "body", options).status);
    CHECK_EQUAL(1, cluster.target_counts("proof", 0U).at("finished").get<int>());
    CHECK_EQUAL(3U, cluster.journal("proof").size());
    CHECK_TRUE(cluster.alerts().empty());
}

// Guards against slow spells that do not reach the work in progress.
TEST(standin_harness, slow_spell_stretches_running_work) {
    const auto target = this->start("target", {"--service-time-us", "100000"});
    standin::control(target.address(), "/control",
                     {{"slow_after_ms", 50}, {"slow_factor", 5.0}, {"slow_for_ms", 60'000}});
    const auto begin = std::chrono::steady_clock::now();
    CHECK_EQUAL(200, standin::http_post(target.address(), "/work/seal", "body", {{}, soon}).status);
    // 50 ms at full speed, then 50 ms of work at a fifth of it; the request starts a little after the control call.
    CHECK_TRUE(std::chrono::steady_clock::now() - begin >= 250ms);
}
