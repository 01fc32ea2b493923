#include <thread>

#include <mangopulley/order/ledger.hpp>

#include "../../fake/fake_clock.hpp"

#include <CppUTest/TestHarness.h>

using namespace mangopulley;

namespace {

constexpr std::uint64_t start = 1'800'000'000U;

[[nodiscard]] order_key make_key(const std::uint64_t issued, const std::string& unique) {
    return {{incarnation_id{1U}, {incarnation_id{2U}, incarnation_id{3U}}, issued}, unique};
}

[[nodiscard]] std::shared_ptr<const order_outcome> make_answer(const std::string& body) {
    auto outcome = make_outcome(order_state::answered, order_reason::none, true);
    outcome.answer.body = body;
    return std::make_shared<const order_outcome>(std::move(outcome));
}

} // namespace

TEST_GROUP(ledger) {
    fake::fake_clock time{};

    [[nodiscard]] static std::optional<order_outcome> admit(ledger & records, const order_key& key,
                                                            const order_reason refusal = order_reason::none) {
        return records.admit(key, "content", time_point{}, refusal);
    }
};

// Guards against a key that is accepted outside its run window, or again after its record was dropped.
TEST(ledger, accepts_each_key_once_and_only_in_its_window) {
    struct window_case {
        std::int64_t age{};
        std::optional<order_state> expected{};
    };
    const window_case cases[]{{0, std::nullopt},   {600, std::nullopt},         {601, order_state::not_run},
                              {-30, std::nullopt}, {-31, order_state::not_run}, {1'000'000, order_state::not_run}};
    for (const auto& each : cases) {
        ledger records{this->time, {}};
        const auto key = make_key(start - static_cast<std::uint64_t>(each.age), "k");
        const auto first = admit(records, key);
        CHECK_EQUAL(each.expected.has_value(), first.has_value());
        CHECK_TRUE(!first || (first->state == each.expected && first->settled));
        CHECK_TRUE(admit(records, key).has_value());
    }
    ledger records{this->time, {}};
    const auto key = make_key(start, "k");
    CHECK_FALSE(admit(records, key).has_value());
    records.finish(key, make_answer("x"));
    this->time.advance(std::chrono::seconds{600});
    CHECK_TRUE(admit(records, key)->answer.body == "x");
    this->time.advance(std::chrono::seconds{1});
    const auto late = admit(records, key);
    CHECK_TRUE(late->state == order_state::unknown && late->reason == order_reason::forgotten && !late->settled);
    CHECK_EQUAL(0U, records.count().records);
    CHECK_EQUAL(0U, records.count().answer_bytes);
}

// Guards against an order in progress whose record is dropped while its process is frozen.
TEST(ledger, keeps_unfinished_records_beyond_the_window) {
    ledger records{this->time, {}};
    const auto key = make_key(start, "k");
    CHECK_FALSE(admit(records, key).has_value());
    this->time.advance(std::chrono::hours{2});
    CHECK_TRUE(admit(records, key)->state == order_state::in_progress);
    records.finish(key, make_answer("x"));
}

// Guards against a key refused at a limit that runs later, and against dropping an older key to make room.
TEST(ledger, refusal_at_a_limit_is_permanent) {
    for (const auto bounds : {ledger_limits{2U}, ledger_limits{100U, 8U}}) {
        ledger records{this->time, bounds};
        const auto base = static_cast<std::uint64_t>(
            std::chrono::floor<std::chrono::seconds>(this->time.wall().time_since_epoch()).count());
        for (const auto* unique : {"a", "b"}) {
            CHECK_FALSE(admit(records, make_key(base, unique)).has_value());
            records.finish(make_key(base, unique), make_answer("12345"));
        }
        const auto refused = make_key(base + 1U, "c");
        const auto reported = admit(records, refused);
        CHECK_TRUE(reported->state == order_state::not_run && reported->settled);
        CHECK_TRUE(admit(records, make_key(base, "a"))->answer.body == "12345");
        this->time.advance(std::chrono::seconds{601});
        CHECK_TRUE(admit(records, refused)->state == order_state::not_run);
        CHECK_FALSE(admit(records, make_key(base + 601U, "d")).has_value());
    }
}

// Guards against a refused key that runs once the cause of the refusal is gone.
TEST(ledger, refused_key_is_never_accepted) {
    ledger records{this->time, {}};
    CHECK_TRUE(admit(records, make_key(start, "k"), order_reason::shutting_down)->state == order_state::not_run);
    CHECK_TRUE(admit(records, make_key(start, "k"))->reason == order_reason::shutting_down);
}

// Guards against a key issued far ahead that is reported as not-run and accepted once the clock reaches its issue time.
TEST(ledger, key_ahead_of_the_clock_stays_refused) {
    ledger records{this->time, {4U}};
    const auto ahead = [](const char* unique) { return make_key(start + 100U, unique); };
    CHECK_TRUE(admit(records, ahead("a"))->state == order_state::not_run);
    CHECK_TRUE(admit(records, ahead("b"))->state == order_state::not_run);
    CHECK_TRUE(admit(records, ahead("c"))->state == order_state::unknown);
    this->time.advance(std::chrono::seconds{100});
    CHECK_TRUE(admit(records, ahead("a"))->state == order_state::not_run);
}

// Guards against a retry that runs, or is refused, while the first request is in progress, and against accepting other
// content under the same key.
TEST(ledger, retry_waits_for_the_outcome) {
    ledger records{this->time, {}};
    const auto key = make_key(start, "k");
    CHECK_FALSE(admit(records, key).has_value());
    CHECK_TRUE(admit(records, key)->state == order_state::in_progress);
    CHECK_TRUE(records.admit(key, "other", {}, order_reason::none)->state == order_state::content_mismatch);
    std::optional<order_outcome> reported{};
    {
        const std::jthread retry{[&] {
            reported = records.admit(key, "content", this->time.now() + std::chrono::seconds{1}, order_reason::none);
        }};
        records.finish(key, make_answer("x"));
    }
    CHECK_TRUE(reported->answer.body == "x");
    records.finish(key, make_answer("y"));
    CHECK_TRUE(admit(records, key)->answer.body == "x");
}
