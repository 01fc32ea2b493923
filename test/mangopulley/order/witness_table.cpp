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

// Guards against a note acknowledged after a seal, and a seal that overlooks a note.
TEST(witness_table, first_of_note_and_seal_holds) {
    witness_table table{this->time, {}};
    CHECK_TRUE(table.note(make_key(start, "a")) == witness_reply::noted);
    CHECK_TRUE(table.seal(make_key(start, "a")).reply == witness_reply::noted);
    CHECK_TRUE(table.seal(make_key(start, "b")).reply == witness_reply::sealed);
    CHECK_TRUE(table.note(make_key(start, "b")) == witness_reply::sealed);
    CHECK_TRUE(table.seal(make_key(start, "b")).reply == witness_reply::sealed);
    CHECK_EQUAL(1U, table.count().notes);
    CHECK_EQUAL(1U, table.count().seals);
}

// Guards against a false not-run by a witness that dropped a note, and a late note by one that dropped a seal.
TEST(witness_table, does_not_vouch_for_what_it_may_have_dropped) {
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
        CHECK_TRUE(table.note(make_key(base, "noted")) == witness_reply::noted);
        CHECK_TRUE(table.seal(make_key(base, "sealed")).reply == witness_reply::sealed);
        this->time.advance(each.pause);
        CHECK_TRUE(table.note(make_key(now, "next")) == witness_reply::noted);
        CHECK_TRUE(table.note(make_key(now, "last")) == witness_reply::noted);
        CHECK_TRUE_TEXT(table.seal(make_key(base, "noted")).reply == witness_reply::not_known, each.name);
        CHECK_TRUE_TEXT(table.note(make_key(base, "sealed")) == witness_reply::not_known, each.name);
        CHECK_TRUE_TEXT(table.seal(make_key(base - 1U, "never seen")).reply == witness_reply::not_known, each.name);
        CHECK_TRUE_TEXT(table.seal(make_key(now, "next")).reply == witness_reply::noted, each.name);
        CHECK_EQUAL_TEXT(base, table.count().horizon, each.name);
    }
}

// Guards against one wrong issue time that fills the table for good or moves the horizon ahead of the clock.
TEST(witness_table, does_not_hold_keys_far_ahead) {
    witness_table table{this->time, {}};
    CHECK_TRUE(table.note(make_key(start + 31U, "a")) == witness_reply::not_known);
    CHECK_TRUE(table.seal(make_key(start + 31U, "a")).reply == witness_reply::not_known);
    CHECK_EQUAL(0U, table.count().notes + table.count().seals);
}

// Guards against an outcome that is lost, or held without bound, after its home handed it over.
TEST(witness_table, holds_outcomes_of_a_home_within_its_bound) {
    witness_limits bounds{};
    bounds.outcome_bytes = 5U;
    witness_table table{this->time, bounds};
    auto outcome = make_outcome(order_state::answered, order_reason::none, true);
    outcome.answer.body = "12345";
    const auto shared = std::make_shared<const order_outcome>(outcome);
    const keyed_outcome kept[]{{make_key(start, "a").to_string(), shared}};
    const keyed_outcome rejected[]{{make_key(start, "b").to_string(), shared}};
    CHECK_TRUE(table.keep(kept));
    CHECK_FALSE(table.keep(rejected));
    CHECK_TRUE(table.seal(make_key(start, "a")).outcome->answer.body == "12345");
    CHECK_FALSE(table.seal(make_key(start, "b")).outcome.has_value());
}
