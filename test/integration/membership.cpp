#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "control_plane.hpp"

#include <CppUTest/TestHarness.h>

namespace {

using control_plane::milliseconds;
using control_plane::test_clock;
using control_plane::test_time;
using standin::cluster;

constexpr std::string_view catalogue = R"(services:
  - name: seals
    owner: tests
    kinds:
      - {name: read, idempotent: true, timeout_ms: 4000}
      - {name: slow, idempotent: true, timeout_ms: 6000}
)";
// An address list holds 5 s; a member is dead after 3 s, and a list may be made up to one heartbeat round later.
constexpr milliseconds list_lifetime{5'000};
constexpr milliseconds dead_limit{4'000};
constexpr milliseconds failover_limit{1'000};
constexpr milliseconds lists_learn_limit{2'000};
constexpr milliseconds exit_limit{20'000};
constexpr milliseconds last_request_at{6'200};

/*! @brief What the platform's list says of the instance that goes. */
enum class platform_list { at_once, lagging, never };

struct list_case {
    const char* name;
    platform_list list;
};

constexpr std::array<list_case, 3U> list_cases{{{"the list follows at once", platform_list::at_once},
                                                {"the list lags by 6 s", platform_list::lagging},
                                                {"the list never follows", platform_list::never}}};

[[nodiscard]] standin::cluster_options options(const platform_list list) {
    standin::cluster_options chosen{};
    chosen.binary_folder = MANGOPULLEY_BINARY_DIR;
    chosen.services = {{"seals", 3U, {"--service-time-us", "1000", "--kind-times", "slow=1500000"}}};
    if (list == platform_list::lagging) {
        chosen.store_arguments = {"--list-lag-ms", "6000"};
    }
    return chosen;
}

/*! @brief Addresses that an instance names for the service; empty when it does not answer. */
[[nodiscard]] std::vector<std::string> addresses_from(const std::string& instance) {
    const auto reply = standin::http_get(instance, "/v1/addresses?service=seals", {{}, milliseconds{500}});
    std::vector<std::string> addresses{};
    if (reply.status == 200) {
        const auto body = reply.json();
        for (const auto& item : body.at("addresses")) {
            addresses.push_back(item.at("address").get<std::string>());
        }
    }
    return addresses;
}

[[nodiscard]] bool names(const std::vector<std::string>& addresses, const std::string& address) {
    return std::find(addresses.begin(), addresses.end(), address) != addresses.end();
}

/*! @brief Waits until all instances name all instances, and returns the index of the first one named. */
[[nodiscard]] std::size_t wait_settled(const cluster& fleet) {
    CHECK_TRUE(standin::wait_until(
        [&] {
            for (std::size_t index = 0U; index < fleet.entries(); ++index) {
                if (addresses_from(fleet.caller_address(index)).size() < 3U ||
                    fleet.request(index, "seals", "read", "x").status != 200) {
                    return false;
                }
            }
            return true;
        },
        control_plane::start_limit, milliseconds{50}));
    const auto first = addresses_from(fleet.caller_address(0U)).front();
    std::size_t lead{};
    while (fleet.caller_address(lead) != first) {
        ++lead;
    }
    return lead;
}

/*! @brief Callers that keep an address list for its lifetime and use the next address when one fails. */
class list_callers {
public:
    list_callers(const cluster& fleet, const std::size_t count) {
        for (std::size_t index = 0U; index < fleet.entries(); ++index) {
            this->instances.push_back(fleet.caller_address(index));
        }
        for (std::size_t index = 0U; index < count; ++index) {
            this->threads.emplace_back([this, index](const std::stop_token& stop) { this->run(stop, index); });
        }
    }

    std::atomic<unsigned> answered{};
    std::atomic<unsigned> failed{};
    /*! @brief Requests that broke off after their connection was made, or ended with an error. */
    std::atomic<unsigned> cut{};
    std::atomic<std::int64_t> slowest_ms{};
    std::atomic<std::int64_t> slowest_slow_ms{};

private:
    void run(const std::stop_token& stop, std::size_t asked) {
        std::vector<std::string> list{};
        test_time taken{};
        const bool slow = asked % 2U == 1U;
        while (!stop.stop_requested()) {
            if (list.empty() || test_clock::now() - taken >= list_lifetime) {
                taken = test_clock::now();
                for (std::size_t tries = 0U; tries < this->instances.size(); ++tries) {
                    if (auto fresh = addresses_from(this->instances[asked++ % this->instances.size()]);
                        !fresh.empty()) {
                        list = std::move(fresh);
                        break;
                    }
                }
            }
            this->call(list, slow);
            std::this_thread::sleep_for(milliseconds{10});
        }
    }

    void call(const std::vector<std::string>& list, const bool slow) {
        const auto began = test_clock::now();
        for (const auto& address : list) {
            const auto reply =
                standin::http_post(address, slow ? "/v1/services/seals/kinds/slow" : "/v1/services/seals/kinds/read",
                                   "x", {{}, milliseconds{8'000}});
            if (reply.status == 200) {
                ++this->answered;
                const auto took = std::chrono::duration_cast<milliseconds>(test_clock::now() - began).count();
                auto& slowest = slow ? this->slowest_slow_ms : this->slowest_ms;
                slowest = std::max<std::int64_t>(slowest, took);
                return;
            }
            if (reply.failure.find("refused") == std::string::npos) {
                ++this->cut;
            }
        }
        ++this->failed;
    }

    std::vector<std::string> instances{};
    std::vector<std::jthread> threads{};
};

void remove_from_list(cluster& fleet, const std::size_t index, const platform_list list) {
    if (list != platform_list::never) {
        fleet.remove_instance(fleet.entry_id(index));
    }
}

void check_killed(const list_case& tested) {
    cluster fleet{options(tested.list)};
    CHECK_TRUE_TEXT(control_plane::start(fleet, catalogue), tested.name);
    const auto lead = wait_settled(fleet);
    const auto address = fleet.caller_address(lead);
    const auto list = addresses_from(fleet.caller_address((lead + 1U) % 3U));
    CHECK_TRUE_TEXT(list.size() == 3U && list.front() == address, tested.name);
    fleet.entry(lead).kill();
    const auto killed = test_clock::now();
    remove_from_list(fleet, lead, tested.list);
    CHECK_EQUAL_TEXT(0, standin::http_post(list[0U], "/v1/services/seals/kinds/read", "x").status, tested.name);
    CHECK_EQUAL_TEXT(200, standin::http_post(list[1U], "/v1/services/seals/kinds/read", "x").status, tested.name);
    CHECK_TRUE_TEXT(test_clock::now() - killed <= failover_limit, tested.name);
    const list_callers callers{fleet, 2U};
    for (std::size_t index = 0U; index < fleet.entries(); ++index) {
        const auto left = dead_limit - std::chrono::duration_cast<milliseconds>(test_clock::now() - killed);
        const auto left_out = [&] {
            const auto named = addresses_from(fleet.caller_address(index));
            return !named.empty() && !names(named, address);
        };
        CHECK_TRUE_TEXT(index == lead || standin::wait_until(left_out, left), tested.name);
    }
    CHECK_TRUE_TEXT(callers.answered > 0U, tested.name);
    CHECK_EQUAL_TEXT(0U, callers.failed.load(), tested.name);
}

void check_leaving(const list_case& tested) {
    cluster fleet{options(tested.list)};
    CHECK_TRUE_TEXT(control_plane::start(fleet, catalogue), tested.name);
    const auto lead = wait_settled(fleet);
    const auto address = fleet.caller_address(lead);
    const list_callers callers{fleet, 6U};
    CHECK_TRUE(standin::wait_until([&] { return callers.answered > 20U; }, control_plane::start_limit));

    fleet.entry(lead).signal(SIGTERM);
    const auto told = test_clock::now();
    if (tested.list != platform_list::never) {
        fleet.set_instance_state(fleet.entry_id(lead), "leaving");
    }
    // Still in flight when the instance stops to serve, 7 s after the signal.
    standin::http_result last_request{};
    std::jthread last_caller{[&last_request, &address, told] {
        static_cast<void>(
            standin::wait_until([told] { return test_clock::now() - told >= last_request_at; }, exit_limit));
        last_request = standin::http_post(address, "/v1/services/seals/kinds/slow", "x", {{}, milliseconds{8'000}});
    }};
    auto last_named = told;
    const bool ended = standin::wait_until(
        [&] {
            for (std::size_t index = 0U; index < fleet.entries(); ++index) {
                const auto asked = test_clock::now();
                if (names(addresses_from(fleet.caller_address(index)), address)) {
                    last_named = asked;
                }
            }
            return !fleet.entry(lead).running();
        },
        exit_limit, milliseconds{20});
    const auto exited = test_clock::now();
    last_caller.join();
    CHECK_EQUAL_TEXT(200, last_request.status, "the request in flight at the end was cut off");
    CHECK_TRUE_TEXT(ended, tested.name);
    CHECK_EQUAL_TEXT(0, fleet.entry(lead).wait_exit(milliseconds{1}).value_or(-1), tested.name);
    CHECK_TRUE_TEXT(last_named - told <= lists_learn_limit, tested.name);
    CHECK_TRUE_TEXT(exited - last_named >= list_lifetime, "the instance ended while lists that name it were in use");
    CHECK_EQUAL_TEXT(0U, callers.cut.load(), tested.name);
    CHECK_EQUAL_TEXT(0U, callers.failed.load(), tested.name);
}

} // namespace

TEST_GROUP(membership_of_processes){};

// Guards against callers that wait for a list without the dead instance, and against lists that keep naming it.
TEST(membership_of_processes, replaces_a_killed_instance) {
    for (const auto& tested : list_cases) {
        check_killed(tested);
    }
}

// Guards against a leaving instance that ends too early, cuts requests off, or is named until its end.
TEST(membership_of_processes, lets_an_instance_leave_without_a_cut_request) {
    for (const auto& tested : list_cases) {
        check_leaving(tested);
    }
}
