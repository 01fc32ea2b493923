#include <atomic>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <fake/fake_target_client.hpp>
#include <mangopulley/routing/call_runner.hpp>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using fake::target_reply;
using mangopulley::target_error;
using mangopulley::target_record;
using code = enum target_error::code;

namespace {

constexpr std::uint64_t seed = 20260101U;
constexpr std::size_t worker_count = 24U;
constexpr int calls_per_worker = 300;
constexpr std::size_t target_count = 6U;

/*! @brief Returns a reply that depends only on the seed, endpoint and request id, so that runs see the same faults. */
[[nodiscard]] target_reply scripted_reply(const std::string& endpoint, const std::string& id) {
    std::mt19937_64 generator{seed ^ std::hash<std::string>{}(endpoint + id)};
    const auto roll = generator() % 100U;
    const auto normal_response_time = std::chrono::microseconds{200 + generator() % 400U};
    if (roll < 2U) {
        return {normal_response_time, 0, code::shed};
    }
    if (roll < 4U) {
        return {0ms, 0, code::not_sent};
    }
    if (roll < 6U) {
        return {normal_response_time, 0, code::broken};
    }
    if (roll < 8U) {
        return {100us, 500};
    }
    if (roll < 11U) {
        return {20ms};
    }
    return {normal_response_time, 200, code::broken, roll == 99U};
}

} // namespace

TEST_GROUP(routing_stress){};

// Guards against races, swapped responses, non-idempotent requests that run twice, lost slots and lost wake-ups.
TEST(routing_stress, preserves_invariants_under_concurrent_calls_and_faults) {
    const mangopulley::system_clock_source time{};
    fake::fake_target_client client{time,
                                    [](const mangopulley::time_point until) { std::this_thread::sleep_until(until); }};
    client.reply = [](const auto& endpoint, const auto& request) {
        return scripted_reply(endpoint, request.request_id);
    };
    mangopulley::dispatcher queue{{.name = "stress", .owner = "owner", .slots_per_target = 2},
                                  mangopulley::make_policy("slot_aware", seed),
                                  time};
    std::vector<target_record> records(target_count);
    for (std::size_t number = 0U; number < target_count; ++number) {
        records[number].id = records[number].endpoint = std::to_string(number);
    }
    queue.update(records);
    mangopulley::retry_budget retries{};
    mangopulley::hedge_budget hedges{};
    mangopulley::cancel_pool cancellations{4U};
    cancellations.start();
    mangopulley::call_runner runner{queue, client, retries, hedges, cancellations, time};

    std::atomic<int> answered{};
    std::atomic<int> failed{};
    std::atomic<int> wrong_responses{};
    std::atomic<int> slot_overruns{};
    {
        std::vector<std::jthread> threads{};
        threads.reserve(worker_count + 1U);
        for (std::size_t worker = 0U; worker < worker_count; ++worker) {
            threads.emplace_back([&, worker] {
                for (int number = 0; number < calls_per_worker; ++number) {
                    const bool idempotent = number % 3 != 0;
                    mangopulley::call_request request{};
                    request.rule = {.name = idempotent ? "read" : "order", .idempotent = idempotent};
                    request.request_id = std::to_string(worker) + '.' + std::to_string(number);
                    request.body = request.request_id;
                    request.deadline = time.now() + 200ms;
                    request.retry_budget = 2U;
                    boost::leaf::try_handle_all(
                        [&]() -> mangopulley::result<void> {
                            BOOST_LEAF_AUTO(answer, runner.run(request));
                            ++answered;
                            wrong_responses += answer.body.starts_with(request.body + '@' + request.body + '-') ? 0 : 1;
                            return {};
                        },
                        [&](const target_error&) { ++failed; }, [&](const mangopulley::queue_error&) { ++failed; },
                        [&] { ++wrong_responses; });
                }
            });
        }
        threads.emplace_back([&](const std::stop_token& stop) {
            for (bool all_listed = true; !stop.stop_requested(); all_listed = !all_listed) {
                const auto count = all_listed ? target_count : target_count - 1U;
                queue.update(std::span{records}.first(count));
                for (const auto& target : queue.describe().targets) {
                    slot_overruns += target.in_flight > 2U ? 1 : 0;
                }
                std::this_thread::sleep_for(1ms);
            }
        });
        for (std::size_t worker = 0U; worker < worker_count; ++worker) {
            threads[worker].join();
        }
    }
    cancellations.stop();

    std::set<std::string> may_have_run{};
    std::size_t attempts{};
    for (const auto& [endpoint, id] : client.attempts()) {
        ++attempts;
        const auto base = id.substr(0U, id.rfind('-'));
        const auto number = std::stoi(base.substr(base.find('.') + 1U));
        const auto reply = scripted_reply(endpoint, id);
        const bool not_run = reply.status == 0 && (reply.failure == code::shed || reply.failure == code::not_sent);
        if (number % 3 == 0 && !not_run) {
            CHECK_TRUE_TEXT(may_have_run.insert(base).second, base.c_str());
        }
    }
    const auto calls = static_cast<int>(worker_count) * calls_per_worker;
    CHECK_EQUAL(0, wrong_responses);
    CHECK_EQUAL(0, slot_overruns);
    CHECK_EQUAL(calls, answered + failed);
    CHECK_TRUE(answered > calls / 2);
    const auto counts = runner.counts();
    CHECK_EQUAL(attempts, counts.attempts);
    CHECK_TRUE(counts.retries <= counts.calls / 10U);
    CHECK_TRUE(counts.hedges <= counts.calls / 20U);
    for (const auto& target : queue.describe().targets) {
        CHECK_EQUAL(0U, target.in_flight);
    }
}
