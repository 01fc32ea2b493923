#include <atomic>
#include <deque>
#include <future>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <fake/fake_clock.hpp>
#include <fake/fake_target_client.hpp>
#include <mangopulley/routing/call_runner.hpp>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using fake::target_reply;
using mangopulley::call_request;
using mangopulley::queue_error;
using mangopulley::target_answer;
using mangopulley::target_error;
using mangopulley::target_record;
using code = enum target_error::code;

namespace {

constexpr int target_count = 14;
constexpr auto usual = 10ms;

/*! @brief Outcome of a call without the error handling. */
struct outcome {
    int status{};
    std::string body{};
    std::optional<target_error> error{};
    bool queue_failed{};
};

} // namespace

TEST_GROUP(call_runner) {
    fake::fake_clock time{};
    mangopulley::service_entry entry{.name = "proofs", .owner = "proofs", .slots_per_target = 2};
    mangopulley::dispatcher queue{this->entry, mangopulley::make_policy("slot_aware", 1U), this->time};
    fake::fake_target_client client{this->time, [this](const mangopulley::time_point until) {
                                        if (until > this->time.now()) {
                                            this->time.advance(until - this->time.now());
                                        }
                                    }};
    mangopulley::cancel_pool cancellations{2U};
    std::unique_ptr<mangopulley::retry_budget> retries{};
    std::unique_ptr<mangopulley::hedge_budget> hedges{};
    std::unique_ptr<mangopulley::call_runner> runner{};
    std::deque<target_reply> script{};
    int calls{};

    void setup() override {
        std::vector<target_record> records{};
        records.reserve(target_count);
        for (int number = 0; number < target_count; ++number) {
            records.push_back({"t" + std::to_string(number), "127.0.0.1:" + std::to_string(number), "a", false});
        }
        this->queue.update(records);
        this->cancellations.start();
        this->client.reply = [](const auto&, const auto&) { return target_reply{usual}; };
        this->budgets(1.0, 1.0);
        for (int number = 0; number < 100; ++number) {
            CHECK_EQUAL(200, this->call(true).status);
        }
    }

    void teardown() override {
        this->cancellations.stop();
    }

    void budgets(const double retry_share, const double hedge_share) {
        this->retries = std::make_unique<mangopulley::retry_budget>(retry_share);
        this->hedges = std::make_unique<mangopulley::hedge_budget>(hedge_share);
        this->runner = std::make_unique<mangopulley::call_runner>(this->queue, this->client, *this->retries,
                                                                  *this->hedges, this->cancellations, this->time);
    }

    [[nodiscard]] outcome call(const bool idempotent, const mangopulley::duration timeout = 1s,
                               const std::uint32_t chain_budget = 3U) {
        call_request request{};
        request.rule = {.name = "read", .idempotent = idempotent};
        request.request_id = "call" + std::to_string(++this->calls);
        request.body = request.request_id;
        request.deadline = this->time.now() + timeout;
        request.retry_budget = chain_budget;
        return boost::leaf::try_handle_all(
            [&]() -> mangopulley::result<outcome> {
                BOOST_LEAF_AUTO(answer, this->runner->run(request));
                return outcome{answer.status, answer.body};
            },
            [](const target_error& error) { return outcome{.error = error}; },
            [](const queue_error&) { return outcome{.queue_failed = true}; }, [] { return outcome{}; });
    }

    /*! @brief Lets the attempts that follow have these replies, whatever the target. */
    void next(const std::vector<target_reply>& replies) {
        this->script.assign(replies.begin(), replies.end());
        this->client.reply = [this](const auto&, const auto&) {
            const auto reply = this->script.empty() ? target_reply{usual} : this->script.front();
            if (!this->script.empty()) {
                this->script.pop_front();
            }
            return reply;
        };
    }
};

// Guards against second runs of non-idempotent requests, lost retries, and a claim of "not run" that isn't proved.
TEST(call_runner, treats_each_failure_by_what_it_proves) {
    const target_reply shed{1ms, 0, code::shed};
    const target_reply refused{0ms, 0, code::not_sent};
    const target_reply broken{5ms, 0, code::broken};
    const target_reply cut{5ms, 0, code::malformed};
    const target_reply bad{1ms, 500};
    const target_reply good{usual};
    const target_reply stuck{10s};
    struct expectation {
        const char* name;
        bool idempotent;
        std::uint32_t chain_budget;
        std::vector<target_reply> replies;
        std::size_t attempts;
        int status;
        bool not_run;
    };
    const expectation cases[] = {
        {"order answered", false, 3U, {good}, 1U, 200, false},
        {"order broken is never repeated", false, 3U, {broken}, 1U, 0, false},
        {"order cut short is never repeated", false, 3U, {cut}, 1U, 0, false},
        {"order answered with an error is not repeated", false, 3U, {bad}, 1U, 500, false},
        {"order shed goes elsewhere", false, 3U, {shed, good}, 2U, 200, false},
        {"order refused goes elsewhere without budget", false, 0U, {refused, refused, good}, 3U, 200, false},
        {"order shed without budget was not run", false, 0U, {shed}, 1U, 0, true},
        {"order shed, then broken, may have run", false, 3U, {shed, broken}, 2U, 0, false},
        {"order that hangs is neither hedged nor repeated", false, 3U, {stuck}, 1U, 0, false},
        {"read broken is repeated", true, 3U, {broken, good}, 2U, 200, false},
        {"read broken, then shed, may have run", true, 1U, {broken, shed}, 2U, 0, false},
        {"read broken without chain budget", true, 0U, {broken}, 1U, 0, false},
        {"read with an error is repeated", true, 3U, {bad, good}, 2U, 200, false},
        {"read keeps the error answer when the repeat fails", true, 1U, {bad, broken}, 2U, 500, false},
        {"read that hangs is hedged once", true, 3U, {stuck, good}, 2U, 200, false},
        {"read whose hedge breaks waits for the first", true, 3U, {{30ms}, {1ms, 0, code::broken}}, 2U, 200, false},
        {"read whose first breaks waits for the hedge", true, 3U, {{20ms, 0, code::broken}, good}, 2U, 200, false},
    };
    for (const auto& item : cases) {
        const auto before = this->client.attempts().size();
        this->next(item.replies);
        const auto seen = this->call(item.idempotent, 200ms, item.chain_budget);
        CHECK_EQUAL_TEXT(item.attempts, this->client.attempts().size() - before, item.name);
        CHECK_EQUAL_TEXT(item.status, seen.status, item.name);
        CHECK_EQUAL_TEXT(item.status == 0, seen.error.has_value(), item.name);
        CHECK_EQUAL_TEXT(item.not_run, seen.error && seen.error->not_run(), item.name);
        this->next({});
        this->time.advance(5s);
        for (int number = 0; number < 2 * target_count; ++number) {
            CHECK_EQUAL_TEXT(200, this->call(true).status, item.name);
        }
    }
}

// Guards against the answer of a cancelled attempt reaching this caller or a later one, and against a caller that waits
// for the cancellation.
TEST(call_runner, returns_only_the_first_whole_answer_and_cancels_the_loser_in_the_background) {
    std::promise<void> gate{};
    auto opened = gate.get_future().share();
    std::atomic<bool> blocked_too_long{};
    this->client.on_cancel = [&, opened] { blocked_too_long = opened.wait_for(5s) != std::future_status::ready; };
    this->next({{40ms}, {usual}});
    const auto seen = this->call(true);
    const auto id = "call" + std::to_string(this->calls);
    STRCMP_EQUAL((id + '@' + id + "-2").c_str(), seen.body.c_str());
    CHECK_EQUAL(0U, this->client.cancelled().size());
    const auto busy = [&] {
        std::uint32_t sum{};
        for (const auto& target : this->queue.describe().targets) {
            sum += target.in_flight;
        }
        return sum;
    };
    CHECK_EQUAL(1U, busy());
    gate.set_value();
    for (int round = 0; round < 5000 && busy() > 0U; ++round) {
        std::this_thread::sleep_for(1ms);
    }
    CHECK_EQUAL(0U, busy());
    CHECK_FALSE(blocked_too_long);
    CHECK_TRUE(this->client.cancelled() == std::set<std::string>{id + "-1"});
    for (int number = 0; number < 2 * target_count; ++number) {
        const auto later = this->call(true);
        CHECK_TRUE(later.body.starts_with("call" + std::to_string(this->calls) + '@'));
    }
    CHECK_EQUAL(1U, this->runner->counts().hedge_wins);
}

// Guards against hedges beyond the budget.
TEST(call_runner, does_not_hedge_without_budget) {
    this->budgets(1.0, 0.0);
    this->next({{100ms}});
    const auto start = this->time.now();
    CHECK_EQUAL(200, this->call(true).status);
    CHECK_TRUE(this->time.now() - start == 100ms);
    CHECK_EQUAL(0U, this->runner->counts().hedges);
}

// Guards against retry storms: extra attempts that keep all targets slow after the cause has gone.
TEST(call_runner, sends_at_most_a_tenth_more_attempts_when_all_targets_fail) {
    const std::pair<const char*, target_reply> faults[] = {
        {"stall", {10s}}, {"broken", {1ms, 0, code::broken}}, {"error", {1ms, 500}}, {"shed", {1ms, 0, code::shed}}};
    for (const auto& [name, fault] : faults) {
        this->budgets(0.10, 0.05);
        const auto before = this->client.attempts().size();
        this->client.reply = [reply = fault](const auto&, const auto&) { return reply; };
        constexpr std::size_t tries = 500U;
        for (std::size_t number = 0U; number < tries; ++number) {
            static_cast<void>(this->call(true, 50ms));
            this->time.advance(5ms);
        }
        const auto attempts = this->client.attempts().size() - before;
        CHECK_TRUE_TEXT(attempts <= tries + tries / 10U, name);
        CHECK_TRUE_TEXT(attempts >= tries / 2U, name);
        this->client.reply = [](const auto&, const auto&) { return target_reply{usual}; };
        this->time.advance(5s);
        for (int number = 0; number < 2 * target_count; ++number) {
            CHECK_EQUAL_TEXT(200, this->call(true).status, name);
        }
    }
}

// Guards against a budget that is spent on answers somewhat late by nature and missing when a target stalls.
TEST(call_runner, keeps_half_of_the_hedge_budget_for_suspect_targets) {
    constexpr std::uint64_t saved = 35U;
    constexpr std::uint64_t reserve = 25U;
    constexpr std::uint64_t slow_calls = 60U;
    this->budgets(1.0, 0.05);
    this->next({});
    for (std::uint64_t number = 0U; number < 20U * saved; ++number) {
        CHECK_EQUAL(200, this->call(true).status);
    }
    // 25 ms are above the 95th percentile of 10 ms, but below the 30 ms that make a target suspect.
    for (std::uint64_t number = 0U; number < slow_calls; ++number) {
        this->script.assign({{25ms}});
        CHECK_EQUAL(200, this->call(true).status);
        CHECK_EQUAL(200, this->call(true).status);
    }
    const auto hedges = this->runner->counts().hedges;
    CHECK_TRUE(hedges >= saved - reserve);
    CHECK_TRUE(hedges <= saved - reserve + 2U * slow_calls / 20U);
    this->script.assign({{100ms}});
    const auto start = this->time.now();
    CHECK_EQUAL(200, this->call(true).status);
    CHECK_EQUAL(hedges + 1U, this->runner->counts().hedges);
    CHECK_TRUE(this->time.now() - start < 60ms);
}
