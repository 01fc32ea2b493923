#include <algorithm>
#include <array>
#include <cstdint>
#include <limits>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "control_plane.hpp"

#include <CppUTest/TestHarness.h>

namespace {

using control_plane::milliseconds;
using control_plane::test_clock;
using standin::cluster;

/*! @brief Limit of the owner, the work that reaches it, and what the director does with alerts. */
struct refusal_case {
    const char* name;
    const char* limits;
    const char* limit_name;
    const char* service_time_us;
    nlohmann::json director;
    bool refusals_allowed;
};

constexpr std::size_t callers = 12U;
constexpr std::size_t request_id_length = 16U;
constexpr milliseconds flood_time{4'000};

[[nodiscard]] std::array<refusal_case, 5U> refusal_cases() {
    const nlohmann::json answers{{"status", 200}, {"never_answer", false}};
    const nlohmann::json fails{{"status", 500}, {"never_answer", false}};
    const nlohmann::json silent{{"status", 200}, {"never_answer", true}};
    return {
        {{"rate, director answers", "requests_per_second: 20", "requests_per_second", "1000", answers, true},
         {"concurrent, director answers", "concurrent: 2, waiting: 1", "concurrent_and_waiting", "100000", answers,
          true},
         {"rate, director fails", "requests_per_second: 20", "requests_per_second", "1000", fails, false},
         {"concurrent, director fails", "concurrent: 2, waiting: 1", "concurrent_and_waiting", "100000", fails, false},
         {"rate, director does not answer", "requests_per_second: 20", "requests_per_second", "1000", silent, false}}};
}

struct reply_record {
    std::int64_t received_ms{};
    standin::http_result reply{};
};

/*! @brief Sends more requests than the limits allow, from several callers for a bounded time. */
[[nodiscard]] std::vector<reply_record> flood(const cluster& fleet) {
    std::vector<reply_record> replies{};
    std::mutex guard{};
    {
        std::vector<std::jthread> threads{};
        for (std::size_t caller = 0U; caller < callers; ++caller) {
            threads.emplace_back([&] {
                const auto end = test_clock::now() + flood_time;
                while (test_clock::now() < end) {
                    auto reply = fleet.request(0U, "seals", "read", "x", {{{"Mangopulley-Timeout-Ms", "500"}}});
                    const auto received = control_plane::wall_ms();
                    {
                        const std::lock_guard lock{guard};
                        replies.push_back({received, std::move(reply)});
                    }
                    std::this_thread::sleep_for(milliseconds{5});
                }
            });
        }
    }
    return replies;
}

/*! @brief Time of the first alert that the director answered with 2xx, in ms since 1970. */
[[nodiscard]] std::int64_t first_acknowledged(const nlohmann::json& alerts, const std::string& limit) {
    auto first = std::numeric_limits<std::int64_t>::max();
    for (const auto& alert : alerts) {
        const auto& body = alert.at("body");
        if (alert.at("status") == 200 && body.value("limit", "") == limit && body.value("service", "") == "seals") {
            first = std::min(first, alert.at("wall_ms").get<std::int64_t>());
        }
    }
    return first;
}

void check_case(const refusal_case& tested) {
    standin::cluster_options options{};
    options.binary_folder = MANGOPULLEY_BINARY_DIR;
    options.entries = 1U;
    options.services = {{"seals", 2U, {"--service-time-us", tested.service_time_us}}};
    cluster fleet{options};
    standin::control(fleet.director().address(), "/control", tested.director);
    CHECK_TRUE_TEXT(control_plane::start(fleet, "services:\n  - name: seals\n    owner: tests\n    limits: {" +
                                                    std::string{tested.limits} +
                                                    "}\n    kinds: [{name: read, idempotent: true}]\n"),
                    tested.name);
    CHECK_TRUE_TEXT(standin::wait_until([&] { return fleet.request(0U, "seals", "read", "x").status == 200; },
                                        control_plane::start_limit),
                    tested.name);
    const auto replies = flood(fleet);
    const auto alerts = fleet.alerts();
    const auto alerted = first_acknowledged(alerts, tested.limit_name);

    std::set<std::string> not_run{};
    std::set<std::string> unknown{};
    std::size_t answered{};
    std::size_t refused{};
    for (const auto& [received_ms, reply] : replies) {
        const auto outcome = reply.header("Mangopulley-Outcome");
        const auto id = reply.header("Request-Id");
        if (reply.status == 200) {
            ++answered;
        } else if (reply.status == 503 && outcome == "not-run") {
            not_run.insert(id);
        } else if (reply.status == 504 && outcome == "unknown") {
            // A request that a limit held up can reach a target shortly before its deadline.
            unknown.insert(id);
        } else {
            CHECK_EQUAL_TEXT(429, reply.status, (tested.name + (": " + reply.failure + reply.body)).c_str());
            ++refused;
            not_run.insert(id);
            CHECK_TRUE_TEXT(tested.refusals_allowed, tested.name);
            CHECK_TRUE_TEXT(received_ms >= alerted, "refused before the director acknowledged an alert");
            STRCMP_EQUAL_TEXT("refused", outcome.c_str(), tested.name);
            STRCMP_EQUAL_TEXT(tested.limit_name, reply.json().value("limit", "").c_str(), tested.name);
            const auto wait = reply.header("Retry-After");
            CHECK_TRUE_TEXT(!wait.empty() && std::stoi(wait) >= 1, tested.name);
        }
    }
    CHECK_TRUE_TEXT(answered > 0U, tested.name);
    // Without an alert the run shows nothing about the director.
    CHECK_TRUE_TEXT(!alerts.empty(), tested.name);
    CHECK_TRUE_TEXT((refused > 0U) == tested.refusals_allowed, tested.name);
    for (const auto& event : fleet.journal("seals")) {
        // A target sees the id of the request, with a number for each further attempt behind it.
        const auto id = event.at("id").get<std::string>().substr(0U, request_id_length);
        CHECK_FALSE_TEXT(event.at("event") == "start" && not_run.contains(id), "ran, though its caller was told not");
        unknown.erase(id);
    }
    CHECK_TRUE_TEXT(unknown.empty(), "unknown, though no target received it");
}

} // namespace

TEST_GROUP(refusals){};

// Guards against a refusal that the director does not know of, names no limit, or is untrue because the request ran.
TEST(refusals, follow_only_an_alert_that_the_director_acknowledged) {
    for (const auto& tested : refusal_cases()) {
        check_case(tested);
    }
}

// Guards against a repeat of an order that ran, whose caller is told that it did not run because its kind is no longer
// in the catalogue or its fields are malformed.
TEST(refusals, claim_nothing_of_a_key_that_ran_before) {
    using field = std::pair<std::string, std::string>;
    const auto catalogue = [](const std::string& kind) {
        return "services:\n  - name: seals\n    owner: tests\n    kinds: [{name: " + kind + "}]\n";
    };
    standin::cluster_options options{};
    options.binary_folder = MANGOPULLEY_BINARY_DIR;
    options.entries = 1U;
    options.services = {{"seals", 2U, {"--service-time-us", "1000"}}};
    cluster fleet{options};
    CHECK_TRUE(control_plane::start(fleet, catalogue("press")));
    std::string key{};
    std::size_t number{};
    const auto ran = [&] {
        key = "key-" + std::to_string(++number);
        return fleet.request(0U, "seals", "press", "x", {{{"Idempotency-Key", key}}}).status == 200;
    };
    CHECK_TRUE(standin::wait_until(ran, control_plane::start_limit));
    CHECK_TRUE(control_plane::apply(fleet, catalogue("cut"), 1U).exit_code == 0);
    const auto gone = [&] { return fleet.request(0U, "seals", "press", "x", {}).status == 404; };
    CHECK_TRUE(standin::wait_until(gone, control_plane::start_limit));

    struct repeat_case {
        const char* kind;
        std::vector<field> fields;
        int status;
        const char* outcome;
    };
    const field keyed{"Idempotency-Key", key};
    const field malformed{"Mangopulley-Timeout-Ms", "x"};
    const repeat_case cases[]{
        {"press", {keyed}, 404, "unknown"},
        {"press", {keyed, {"Mangopulley-Attempt", "2"}}, 404, "unknown"},
        {"press", {keyed, {"Mangopulley-Attempt", "1"}}, 404, "not-run"},
        {"press", {}, 404, "not-run"},
        {"cut", {keyed, malformed}, 400, "unknown"},
        {"cut", {malformed}, 400, "not-run"},
    };
    for (const auto& tested : cases) {
        const auto reply = fleet.request(0U, "seals", tested.kind, "x", {tested.fields});
        CHECK_EQUAL_TEXT(tested.status, reply.status, reply.body.c_str());
        STRCMP_EQUAL_TEXT(tested.outcome, reply.header("Mangopulley-Outcome").c_str(), reply.body.c_str());
    }
}
