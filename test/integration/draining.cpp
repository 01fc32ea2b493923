#include <array>
#include <atomic>
#include <map>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "control_plane.hpp"

#include <CppUTest/TestHarness.h>

namespace {

using control_plane::milliseconds;
using standin::cluster;

constexpr std::string_view catalogue = R"(services:
  - name: seals
    owner: tests
    kinds:
      - {name: read, idempotent: true, timeout_ms: 8000}
      - {name: slow, idempotent: true, timeout_ms: 8000}
)";
// A leaving target receives no new work after this time (section 1.1 of the design).
constexpr std::int64_t new_work_limit_ms = 3'000;
constexpr std::int64_t watched_ms = 6'000;
constexpr std::size_t targets = 4U;
constexpr std::size_t fast_callers = 6U;
constexpr std::size_t slow_callers = 3U;

void say_draining(cluster& fleet) {
    fleet.set_target("seals", 0U, {{"draining", true}});
}

void list_leaving(cluster& fleet) {
    fleet.set_instance_state(fleet.target_id("seals", 0U), "leaving");
}

/*! @brief How target 0, or all targets, tell that they leave. */
struct drain_case {
    const char* name;
    void (*tell)(cluster& fleet);
    /*! @brief Lag of the platform's list. */
    const char* list_lag_ms;
    /*! @brief Whether target 0 must get no new work. */
    bool leaves;
};

constexpr std::array<drain_case, 5U> drain_cases{{
    {"the target says so", say_draining, "0", true},
    {"the list says so", list_leaving, "0", true},
    {"both, with a list that lags by 10 s",
     [](cluster& fleet) {
         say_draining(fleet);
         list_leaving(fleet);
     },
     "10000", true},
    {"all targets claim to drain, none does",
     [](cluster& fleet) {
         for (std::size_t index = 0U; index < targets; ++index) {
             fleet.set_target("seals", index, {{"draining", true}});
         }
     },
     "0", false},
    {"all targets claim to drain, the list names one",
     [](cluster& fleet) {
         for (std::size_t index = 0U; index < targets; ++index) {
             fleet.set_target("seals", index, {{"draining", true}});
         }
         list_leaving(fleet);
     },
     "0", true},
}};

/*! @brief Callers with short and long requests at all instances. */
class steady_load {
public:
    explicit steady_load(const cluster& fleet) {
        for (std::size_t index = 0U; index < fast_callers + slow_callers; ++index) {
            const std::string kind = index < fast_callers ? "read" : "slow";
            this->threads.emplace_back([this, &fleet, index, kind](const std::stop_token& stop) {
                while (!stop.stop_requested()) {
                    const auto reply =
                        fleet.request(index % fleet.entries(), "seals", kind, "x", {{}, milliseconds{10'000}});
                    ++(reply.status == 200 ? this->answered : this->failed);
                    std::this_thread::sleep_for(milliseconds{5});
                }
            });
        }
    }

    std::atomic<unsigned> answered{};
    std::atomic<unsigned> failed{};

private:
    std::vector<std::jthread> threads{};
};

/*! @brief What the journal says of one target. */
struct target_history {
    std::set<std::string> open{};
    std::size_t received{};
    std::int64_t last_received_ms{};
};

[[nodiscard]] std::map<std::string, target_history> read_journal(const cluster& fleet) {
    std::map<std::string, target_history> histories{};
    for (const auto& event : fleet.journal("seals")) {
        auto& history = histories[event.at("target").get<std::string>()];
        const auto what = event.at("event").get<std::string>();
        const auto id = event.at("id").get<std::string>();
        if (what == "receive") {
            ++history.received;
            history.last_received_ms = event.at("wall_us").get<std::int64_t>() / 1000;
        } else if (what == "start") {
            history.open.insert(id);
        } else if (what == "finish" || what == "cancel") {
            history.open.erase(id);
        }
    }
    return histories;
}

void check_case(const drain_case& tested) {
    standin::cluster_options options{};
    options.binary_folder = MANGOPULLEY_BINARY_DIR;
    options.entries = 2U;
    options.services = {{"seals", targets, {"--service-time-us", "3000", "--kind-times", "slow=2500000"}}};
    options.store_arguments = {"--list-lag-ms", tested.list_lag_ms};
    cluster fleet{options};
    CHECK_TRUE_TEXT(control_plane::start(fleet, catalogue), tested.name);
    CHECK_TRUE_TEXT(standin::wait_until(
                        [&] {
                            return fleet.request(0U, "seals", "read", "x").status == 200 &&
                                   fleet.request(1U, "seals", "read", "x").status == 200;
                        },
                        control_plane::start_limit),
                    tested.name);
    const auto address = fleet.target("seals", 0U).address();
    const auto leaving = "seals-" + address.substr(address.rfind(':') + 1U);
    std::int64_t told{};
    unsigned failed{};
    {
        const steady_load load{fleet};
        // The target must be at work when it is told to leave, or nothing could be cut off.
        CHECK_TRUE_TEXT(standin::wait_until(
                            [&] {
                                const auto histories = read_journal(fleet);
                                const auto found = histories.find(leaving);
                                return load.answered > 100U && found != histories.end() && !found->second.open.empty();
                            },
                            control_plane::start_limit, milliseconds{20}),
                        tested.name);
        tested.tell(fleet);
        told = control_plane::wall_ms();
        const auto before = load.answered.load();
        CHECK_TRUE(standin::wait_until([&] { return control_plane::wall_ms() >= told + watched_ms; },
                                       control_plane::start_limit));
        CHECK_TRUE_TEXT(load.answered > before + 100U, tested.name);
        failed = load.failed;
    }
    CHECK_EQUAL_TEXT(0U, failed, tested.name);
    auto histories = read_journal(fleet);
    CHECK_TRUE_TEXT(histories.at(leaving).open.empty(), "a request in flight was cut off");
    if (tested.leaves) {
        CHECK_TRUE_TEXT(
            histories.at(leaving).last_received_ms <= told + new_work_limit_ms,
            (tested.name + (": new work after ms: " + std::to_string(histories.at(leaving).last_received_ms - told)))
                .c_str());
    } else {
        // With all targets claiming the same, all go on working.
        for (const auto& [name, history] : histories) {
            CHECK_TRUE_TEXT(history.last_received_ms > told + new_work_limit_ms, name.c_str());
        }
    }
}

} // namespace

TEST_GROUP(draining){};

// Guards against new work for a target that leaves, and against requests that its drain cuts off.
TEST(draining, gives_no_new_work_to_a_target_that_says_so) {
    check_case(drain_cases[0U]);
}

TEST(draining, gives_no_new_work_to_a_target_that_the_list_names) {
    check_case(drain_cases[1U]);
}

TEST(draining, does_not_wait_for_a_list_that_lags) {
    check_case(drain_cases[2U]);
}

// Guards against a pool that false claims empty.
TEST(draining, keeps_working_when_all_targets_claim_to_drain) {
    check_case(drain_cases[3U]);
}

TEST(draining, follows_the_list_when_all_targets_claim_to_drain) {
    check_case(drain_cases[4U]);
}
