#include <mangopulley/order/witness_table.hpp>

#include "../../fake/fake_clock.hpp"

#include <CppUTest/TestHarness.h>

using namespace mangopulley;

namespace {

constexpr std::uint64_t start = 1'800'000'000U;

[[nodiscard]] order_key make_key(const std::uint64_t issued, const std::string& unique) {
    return {{incarnation_id{1U}, {incarnation_id{2U}, incarnation_id{3U}}, issued}, unique};
}

} // namespace

TEST_GROUP(witness_table) {
    fake::fake_clock time{};
};

// Guards against a note that is acknowledged after a seal, and against a seal that misses a note.
TEST(witness_table, first_of_note_and_seal_wins) {
    witness_table table{this->time, {}};
    CHECK_TRUE(table.note(make_key(start, "a")) == witness_status::noted);
    CHECK_TRUE(table.seal(make_key(start, "a")).status == witness_status::noted);
    CHECK_TRUE(table.seal(make_key(start, "b")).status == witness_status::sealed);
    CHECK_TRUE(table.note(make_key(start, "b")) == witness_status::sealed);
    CHECK_TRUE(table.seal(make_key(start, "b")).status == witness_status::sealed);
    CHECK_EQUAL(1U, table.count().notes);
    CHECK_EQUAL(1U, table.count().seals);
}

// Guards against a false not-run from a witness that dropped a note, and against a note that is acknowledged by a
// witness that dropped the seal.
TEST(witness_table, does_not_confirm_keys_it_may_have_dropped) {
    struct drop_case {
        const char* name;
        witness_limits bounds;
        duration pause;
    };
    const drop_case cases[]{{"expired", {}, std::chrono::seconds{1801}}, {"evicted", {2U}, std::chrono::seconds{10}}};
    for (const auto& each : cases) {
        const auto base = static_cast<std::uint64_t>(
            std::chrono::floor<std::chrono::seconds>(this->time.wall().time_since_epoch()).count());
        const auto now =
            base + static_cast<std::uint64_t>(std::chrono::floor<std::chrono::seconds>(each.pause).count());
        witness_table table{this->time, each.bounds};
        CHECK_TRUE(table.note(make_key(base, "noted")) == witness_status::noted);
        CHECK_TRUE(table.seal(make_key(base, "sealed")).status == witness_status::sealed);
        this->time.advance(each.pause);
        CHECK_TRUE(table.note(make_key(now, "next")) == witness_status::noted);
        CHECK_TRUE(table.note(make_key(now, "last")) == witness_status::noted);
        CHECK_TRUE_TEXT(table.seal(make_key(base, "noted")).status == witness_status::unknown, each.name);
        CHECK_TRUE_TEXT(table.note(make_key(base, "sealed")) == witness_status::unknown, each.name);
        CHECK_TRUE_TEXT(table.seal(make_key(base - 1U, "never seen")).status == witness_status::unknown, each.name);
        CHECK_TRUE_TEXT(table.seal(make_key(now, "next")).status == witness_status::noted, each.name);
        CHECK_EQUAL_TEXT(base, table.count().horizon, each.name);
    }
}

// Guards against a wrong issue time that occupies the table permanently or moves the horizon ahead of the clock.
TEST(witness_table, rejects_keys_far_ahead) {
    witness_table table{this->time, {}};
    CHECK_TRUE(table.note(make_key(start + 31U, "a")) == witness_status::unknown);
    CHECK_TRUE(table.seal(make_key(start + 31U, "a")).status == witness_status::unknown);
    CHECK_EQUAL(0U, table.count().notes + table.count().seals);
}

// Guards against an outcome that is lost, or stored beyond the limit, after its home handed it over.
TEST(witness_table, stores_handed_over_outcomes_within_its_limit) {
    witness_limits bounds{};
    bounds.max_outcome_bytes = 5U;
    witness_table table{this->time, bounds};
    auto outcome = make_outcome(order_state::answered, order_reason::none, true);
    outcome.answer.body = "12345";
    const auto shared = std::make_shared<const order_outcome>(outcome);
    const keyed_outcome stored[]{{make_key(start, "a").to_string(), shared}};
    const keyed_outcome rejected[]{{make_key(start, "b").to_string(), shared}};
    CHECK_TRUE(table.store_outcomes(stored));
    CHECK_FALSE(table.store_outcomes(rejected));
    CHECK_TRUE(table.seal(make_key(start, "a")).outcome->answer.body == "12345");
    CHECK_FALSE(table.seal(make_key(start, "b")).outcome.has_value());
}
