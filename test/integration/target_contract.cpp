#include <algorithm>
#include <atomic>
#include <chrono>
#include <fstream>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <mangopulley/core/clock.hpp>
#include <mangopulley/target/http_target_client.hpp>
#include <nlohmann/json.hpp>
#include <standin/common/http.hpp>
#include <standin/common/journal.hpp>
#include <standin/common/standin_program.hpp>
#include <standin/common/temporary_folder.hpp>
#include <standin/common/wait_until.hpp>

#include <CppUTest/TestHarness.h>

namespace {

using namespace std::chrono_literals;
using mangopulley::http_target_client;
using mangopulley::target_answer;
using mangopulley::target_error;
using mangopulley::target_request;
using code = enum target_error::code;
using std::chrono::milliseconds;

constexpr milliseconds connect_timeout{2000};
// Upper bound for what must happen soon; a busy machine can stall a process for seconds.
constexpr milliseconds soon{10'000};

/*! @brief Clock whose monotonic time stands still, so that kept connections do not grow old on a busy machine. */
class still_clock final : public mangopulley::clock {
public:
    [[nodiscard]] mangopulley::time_point now() const noexcept override {
        return mangopulley::time_point{} + std::chrono::hours{1};
    }
    [[nodiscard]] std::chrono::system_clock::time_point wall() const noexcept override {
        return std::chrono::system_clock::now();
    }
};

struct outcome {
    std::optional<target_answer> answer{};
    std::optional<target_error> error{};

    [[nodiscard]] bool failed_with(const code expected) const { return this->error && this->error->code == expected; }
    [[nodiscard]] int status() const { return this->answer ? this->answer->status : 0; }

    /*! @brief Tells whether this is the target's answer to exactly this request. */
    [[nodiscard]] bool answers(const target_request& request) const {
        if (this->status() != 200) {
            return false;
        }
        const auto json = nlohmann::json::parse(this->answer->body, nullptr, false);
        return json.is_object() && json.value("request_id", "") == request.request_id &&
               json.value("body", "") == request.body && json.value("kind", "") == request.kind;
    }
};

template <typename Call>
[[nodiscard]] outcome attempt(Call&& call) {
    return boost::leaf::try_handle_all(
        [&]() -> mangopulley::result<outcome> {
            BOOST_LEAF_AUTO(answer, call());
            return outcome{std::move(answer), std::nullopt};
        },
        [](const target_error& error) {
            return outcome{std::nullopt, error};
        },
        // An error without its type breaks the contract; an outcome with neither part fails every check.
        [] { return outcome{}; });
}

[[nodiscard]] outcome send(http_target_client& client, const std::string& address, const target_request& request) {
    return attempt([&]() -> mangopulley::result<target_answer> {
        BOOST_LEAF_AUTO(open, client.begin(address, request));
        return open->receive(request.deadline);
    });
}

} // namespace

TEST_GROUP(target_contract) {
    standin::temporary_folder folder{};
    std::optional<standin::standin_program> target{};
    mangopulley::system_clock_source clock{};
    still_clock still{};

    void start(std::vector<std::string> arguments = {}) {
        const auto journal = this->journal_path();
        std::filesystem::remove(journal);
        arguments.insert(arguments.end(), {"--journal", journal.string(), "--seed", "7"});
        this->target.emplace(MANGOPULLEY_BINARY_DIR, "target", arguments, this->folder.path());
    }

    [[nodiscard]] std::filesystem::path journal_path() const {
        return this->folder.path() / "journal";
    }

    void behave(const nlohmann::json& behaviour) const {
        standin::control(this->target->address(), "/control", behaviour);
    }

    [[nodiscard]] std::uint64_t count(const char* name) const {
        return standin::read_json(this->target->address(), "/control/counts").at(name);
    }

    [[nodiscard]] std::vector<nlohmann::json> events(const std::string_view event, const std::string_view id = {})
        const {
        std::vector<nlohmann::json> found{};
        std::ifstream file{this->journal_path()};
        for (std::string line{}; std::getline(file, line);) {
            auto json = nlohmann::json::parse(line);
            if (json.at("event") == event && (id.empty() || json.at("id") == id)) {
                found.push_back(std::move(json));
            }
        }
        return found;
    }

    [[nodiscard]] static target_request make(const mangopulley::clock& time, const std::string& id,
                                             const milliseconds limit = soon, const bool idempotent = true) {
        target_request request{};
        request.kind = "seal";
        request.request_id = id;
        request.body = "body of " + id;
        request.deadline = time.now() + limit;
        request.idempotent = idempotent;
        return request;
    }

    /*! @brief Sends requests over kept connections; each gets its own answer, or a refusal if it did not run. */
    void check_own_answers_only() {
        http_target_client client{this->still, connect_timeout, 8U};
        for (int number = 0; number < 100; ++number) {
            const auto request = this->make(this->still, "r" + std::to_string(number), soon, number % 2 == 0);
            const auto seen = send(client, this->target->address(), request);
            CHECK_TRUE_TEXT(seen.answers(request) || seen.failed_with(code::shed), request.request_id.c_str());
            CHECK_EQUAL(seen.error ? 0U : 1U, this->events("start", request.request_id).size());
        }
    }
};

// Guards against answers that are passed on incomplete, and against outcomes that claim more than is known.
TEST(target_contract, tells_what_became_of_a_request) {
    struct fault_case {
        const char* name;
        nlohmann::json behaviour;
        milliseconds limit;
        std::optional<code> error;
        int status;
        std::size_t started;
    };
    const std::vector<fault_case> cases{
        {"no fault", {{"draining", false}}, soon, std::nullopt, 200, 1U},
        {"whole chunked body", {{"cut_body", "whole"}}, soon, std::nullopt, 200, 1U},
        {"body cut short", {{"cut_body", "length"}}, soon, code::malformed, 0, 1U},
        {"chunk cut short", {{"cut_body", "chunked"}}, soon, code::malformed, 0, 1U},
        {"last chunk missing", {{"cut_body", "chunked_end"}}, soon, code::malformed, 0, 1U},
        {"head cut short", {{"cut_body", "head"}}, soon, code::malformed, 0, 1U},
        {"never answers", {{"never_answer", true}}, 300ms, code::timed_out, 0, 1U},
        {"late answer", {{"answer_delay_ms", 5000}}, 300ms, code::timed_out, 0, 1U},
        {"slow", {{"slow_factor", 1000.0}}, 300ms, code::timed_out, 0, 1U},
        {"not started before its deadline", {{"cold_start_ms", 60'000}}, 300ms, code::timed_out, 0, 0U},
        {"shed", {{"shed_percent", 100}}, soon, code::shed, 0, 0U},
        {"shed with another id", {{"shed_percent", 100}, {"shed_id", "other"}}, soon, std::nullopt, 503, 0U},
        {"503 without shed", {{"fail_fast", true}, {"fail_status", 503}}, soon, std::nullopt, 503, 0U},
        {"fails at once", {{"fail_fast", true}}, soon, std::nullopt, 500, 0U},
        {"closes without answer", {{"drop_requests", 1}}, soon, code::broken, 0, 0U},
        {"resets without answer", {{"reset_requests", 1}}, soon, code::broken, 0, 0U},
    };
    for (const auto& fault : cases) {
        this->start();
        this->behave(fault.behaviour);
        http_target_client client{this->clock, connect_timeout, 8U};
        const auto request = this->make(this->clock, "r1", fault.limit);
        const auto begin = std::chrono::steady_clock::now();
        const auto seen = send(client, this->target->address(), request);
        CHECK_TRUE_TEXT(std::chrono::steady_clock::now() - begin < fault.limit + soon, fault.name);
        const auto error = seen.error ? std::optional{seen.error->code} : std::nullopt;
        CHECK_TRUE_TEXT(error == fault.error && (seen.answer || seen.error), fault.name);
        CHECK_EQUAL_TEXT(fault.status, seen.status(), fault.name);
        CHECK_TRUE_TEXT(fault.status != 200 || seen.answers(request), fault.name);
        CHECK_EQUAL_TEXT(1U, this->events("receive").size(), fault.name);
        CHECK_EQUAL_TEXT(fault.started, this->events("start").size(), fault.name);
        if (seen.error && seen.error->not_run()) {
            CHECK_EQUAL_TEXT(0U, this->events("start").size(), fault.name);
        }
    }
}

// Guards against taking a refused connection for a request that may have run.
TEST(target_contract, refused_connection_means_not_sent) {
    this->start();
    this->target->program().kill();
    http_target_client client{this->clock, connect_timeout, 8U};
    const auto seen = send(client, this->target->address(), this->make(this->clock, "r1"));
    CHECK_TRUE(seen.failed_with(code::not_sent) && seen.error->not_run());
}

// Guards against starting work whose time is over, and against giving up the proof that it did not run.
TEST(target_contract, expired_work_is_shed) {
    this->start({"--slots", "1", "--service-time-us", "300000"});
    http_target_client client{this->clock, connect_timeout, 8U};
    const auto running = this->make(this->clock, "running");
    const auto waiting = this->make(this->clock, "waiting", 100ms);
    const auto first = attempt([&]() -> mangopulley::result<target_answer> {
        BOOST_LEAF_AUTO(busy, client.begin(this->target->address(), running));
        CHECK_TRUE(standin::wait_until([this] { return this->count("running") == 1U; }, soon));
        BOOST_LEAF_AUTO(late, client.begin(this->target->address(), waiting));
        // Read with a later limit than the deadline that the target was told.
        const auto shed = attempt([&] { return late->receive(this->clock.now() + soon); });
        CHECK_TRUE(shed.failed_with(code::shed));
        return busy->receive(running.deadline);
    });
    CHECK_TRUE(first.answers(running));
    CHECK_EQUAL(0U, this->events("start", "waiting").size());
}

// Guards against writing a request twice when the target closes a kept connection as the request arrives.
TEST(target_contract, never_writes_a_request_twice) {
    struct fault_case {
        const char* name;
        nlohmann::json behaviour;
        bool idempotent;
    };
    const std::vector<fault_case> cases{
        {"closed, idempotent", {{"drop_requests", 1}}, true},
        {"closed, not idempotent", {{"drop_requests", 1}}, false},
        {"reset, idempotent", {{"reset_requests", 1}}, true},
        {"reset, not idempotent", {{"reset_requests", 1}}, false},
    };
    this->start();
    http_target_client client{this->still, connect_timeout, 8U};
    int number = 0;
    for (const auto& fault : cases) {
        const auto id = [&] { return "r" + std::to_string(++number); };
        const auto before = this->make(this->still, id(), soon, fault.idempotent);
        CHECK_TRUE_TEXT(send(client, this->target->address(), before).answers(before), fault.name);
        this->behave(fault.behaviour);
        const auto connections = this->count("connections");
        const auto lost = this->make(this->still, id(), soon, fault.idempotent);
        CHECK_TRUE_TEXT(send(client, this->target->address(), lost).failed_with(code::broken), fault.name);
        // The only new connection is that of the second count: the request went over the kept one, and only there.
        CHECK_EQUAL_TEXT(connections + 1U, this->count("connections"), fault.name);
        const auto received = this->events("receive", lost.request_id);
        CHECK_EQUAL_TEXT(1U, received.size(), fault.name);
        CHECK_TRUE_TEXT(received.front().at("digest") == standin::body_digest(lost.body), fault.name);
        const auto after = this->make(this->still, id(), soon, fault.idempotent);
        CHECK_TRUE_TEXT(send(client, this->target->address(), after).answers(after), fault.name);
    }
}

// Guards against a second write when the close of a kept connection has not reached the client yet.
TEST(target_contract, does_not_repeat_on_a_connection_closed_out_of_sight) {
    for (const bool idempotent : {true, false}) {
        this->start();
        const standin::standin_program proxy{
            MANGOPULLEY_BINARY_DIR, "fault_proxy", {"--to", this->target->address()}, this->folder.path()};
        const auto proxied = [&](const char* name) -> std::uint64_t {
            return standin::read_json(proxy.control_address(), "/control/counts").at(name);
        };
        http_target_client client{this->still, connect_timeout, 8U};
        const auto before = this->make(this->still, "before", soon, idempotent);
        CHECK_TRUE(send(client, proxy.address(), before).answers(before));
        standin::control(proxy.control_address(), "/control", {{"hold", "to_client"}});
        this->target->program().kill();
        const auto lost = this->make(this->still, "lost", soon, idempotent);
        CHECK_TRUE(send(client, proxy.address(), lost).failed_with(code::broken));
        CHECK_EQUAL(1U, proxied("accepted"));
        CHECK_EQUAL(0U, this->events("receive", "lost").size());
    }
}

// Guards against failing a request because the target closed the kept connection after the one before.
TEST(target_contract, opens_a_new_connection_after_a_close_between_requests) {
    this->start();
    http_target_client client{this->still, connect_timeout, 8U};
    for (int number = 0; number < 20; ++number) {
        this->behave({{"close_after_answer", 1}});
        const auto request = this->make(this->still, "r" + std::to_string(number), soon, false);
        CHECK_TRUE(send(client, this->target->address(), request).answers(request));
        // Only the connection of the count itself is open then: the close has been sent.
        CHECK_TRUE(standin::wait_until([this] { return this->count("open_connections") == 1U; }, soon));
        CHECK_EQUAL(1U, this->events("receive", request.request_id).size());
    }
}

// Guards against giving a late answer to the next request.
TEST(target_contract, late_answer_meets_no_other_request) {
    this->start({"--service-time-us", "500"});
    http_target_client client{this->clock, connect_timeout, 8U};
    for (int round = 0; round < 5; ++round) {
        this->behave({{"answer_delay_ms", 400}});
        const auto late = this->make(this->clock, "late" + std::to_string(round), 200ms);
        CHECK_TRUE(send(client, this->target->address(), late).failed_with(code::timed_out));
        this->behave({{"answer_delay_ms", 0}});
        const auto until = std::chrono::steady_clock::now() + 300ms;
        for (int number = 0; number < 1000 && std::chrono::steady_clock::now() < until; ++number) {
            const auto next = this->make(this->clock, "n" + std::to_string(round) + '-' + std::to_string(number));
            CHECK_TRUE(send(client, this->target->address(), next).answers(next));
        }
    }
}

// Guards against a copy of an earlier answer or refusal that is taken for the answer to a request that runs.
TEST(target_contract, late_copies_meet_no_other_request) {
    this->start({"--service-time-us", "500"});
    this->behave({{"shed_percent", 50}, {"late_copies", 1'000'000}});
    this->check_own_answers_only();
    CHECK_TRUE(this->count("late_copies") > 0U);
}

// Guards against a target that names no requests in its answers and gets no work, or answers in each other's place.
TEST(target_contract, serves_targets_that_name_no_requests) {
    this->start({"--service-time-us", "500"});
    this->behave({{"shed_percent", 50}, {"name_requests", false}, {"late_copies", 1'000'000}});
    this->check_own_answers_only();
}

// Guards against a draining or loaded target that is not seen as such.
TEST(target_contract, passes_on_load_and_draining) {
    this->start();
    http_target_client client{this->clock, connect_timeout, 8U};
    const auto first = send(client, this->target->address(), this->make(this->clock, "r1"));
    CHECK_TRUE(first.answer && first.answer->load && first.answer->load->in_flight == 0U && !first.answer->draining);
    this->behave({{"draining", true}});
    CHECK_TRUE(send(client, this->target->address(), this->make(this->clock, "r2")).answer->draining);
    this->behave({{"shed_percent", 100}});
    const auto shed = send(client, this->target->address(), this->make(this->clock, "r3"));
    CHECK_TRUE(shed.failed_with(code::shed) && shed.error->draining);
}

// Guards against probes that report another load, outlive their deadline or go unnoticed in the budget.
TEST(target_contract, probes_report_the_load) {
    this->start({"--slots", "1", "--service-time-us", "60000000"});
    http_target_client client{this->clock, connect_timeout, 8U};
    const auto probe = [&](const milliseconds limit) {
        return boost::leaf::try_handle_all(
            [&]() -> mangopulley::result<std::optional<mangopulley::load_report>> {
                BOOST_LEAF_AUTO(report, client.probe(this->target->address(), this->clock.now() + limit));
                return std::optional{report};
            },
            [] { return std::optional<mangopulley::load_report>{}; });
    };
    std::vector<std::unique_ptr<mangopulley::exchange>> open{};
    for (const char* id : {"r1", "r2", "r3"}) {
        auto opened = client.begin(this->target->address(), this->make(this->clock, id));
        CHECK_TRUE(opened.has_value());
        open.push_back(std::move(*opened));
    }
    CHECK_TRUE(standin::wait_until([this] { return this->count("received") == 3U; }, soon));
    const auto report = probe(soon);
    CHECK_TRUE(report && report->in_flight == 1U && report->queued == 2U);
    CHECK_EQUAL(1U, this->count("probes"));
    CHECK_FALSE(probe(-1000ms).has_value());
    CHECK_EQUAL(1U, this->count("probes"));
}

// Guards against a cancelled request that keeps its slot, and against waiting for the slower of two exchanges.
TEST(target_contract, cancels_the_loser_of_two_exchanges) {
    this->start({"--slots", "1", "--service-time-us", "60000000"});
    const standin::standin_program other{
        MANGOPULLEY_BINARY_DIR, "target", {"--service-time-us", "1000"}, this->folder.path()};
    http_target_client client{this->clock, connect_timeout, 8U};
    auto slow = client.begin(this->target->address(), this->make(this->clock, "slow"));
    const auto request = this->make(this->clock, "fast");
    CHECK_TRUE(standin::wait_until([this] { return this->count("running") == 1U; }, soon));
    auto fast = client.begin(other.address(), request);
    CHECK_TRUE(slow.has_value() && fast.has_value());
    mangopulley::exchange* const open[] = {slow->get(), fast->get()};
    const auto ready = client.wait_any(open, this->clock.now() + soon);
    CHECK_TRUE(ready == 1U);
    CHECK_TRUE(attempt([&] { return (*fast)->receive(request.deadline); }).answers(request));
    (*slow)->cancel();
    CHECK_TRUE(standin::wait_until([this] { return this->count("running") == 0U; }, soon));
    CHECK_EQUAL(1U, this->events("cancel", "slow").size());
    CHECK_EQUAL(0U, this->events("finish", "slow").size());
}

// Guards against mixed-up answers and repeated requests under concurrency, time-outs, cancellations and faults.
TEST(target_contract, every_answer_is_the_callers_own_under_load) {
    this->start({"--service-time-us", "1500", "--distribution", "exponential", "--slots", "4"});
    this->behave({{"shed_percent", 10}});
    http_target_client client{this->clock, connect_timeout, 16U};
    std::atomic<int> answered{};
    std::atomic<int> failed{};
    std::atomic<int> wrong{};
    constexpr unsigned caller_count = 8U;
    std::vector<std::thread> callers{};
    callers.reserve(caller_count);
    for (unsigned caller = 0U; caller < caller_count; ++caller) {
        callers.emplace_back([&, caller] {
            std::mt19937 random{caller};
            for (int number = 0; number < 150; ++number) {
                const auto id = std::to_string(caller) + '-' + std::to_string(number);
                const auto request =
                    this->make(this->clock, id, milliseconds{2U + random() % 40U}, random() % 2U == 0U);
                if (number % 50 == 25) {
                    this->behave(random() % 2U == 0U ? nlohmann::json{{"drop_requests", 2}}
                                                     : nlohmann::json{{"close_after_answer", 2}});
                }
                const auto seen = send(client, this->target->address(), request);
                if (seen.error) {
                    ++failed;
                } else {
                    ++(seen.answers(request) ? answered : wrong);
                }
            }
        });
    }
    for (auto& caller : callers) {
        caller.join();
    }
    CHECK_EQUAL(0, wrong.load());
    CHECK_EQUAL(static_cast<int>(caller_count) * 150, answered.load() + failed.load());
    CHECK_TRUE(answered.load() > 0 && failed.load() > 0);
    std::vector<std::string> received{};
    for (const auto& event : this->events("receive")) {
        received.push_back(event.at("id"));
    }
    std::sort(received.begin(), received.end());
    CHECK_TRUE(std::adjacent_find(received.begin(), received.end()) == received.end());
}
