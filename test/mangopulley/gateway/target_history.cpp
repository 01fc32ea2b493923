#include <string>
#include <vector>

#include <mangopulley/gateway/document_codec.hpp>
#include <mangopulley/gateway/target_history.hpp>

#include <CppUTest/TestHarness.h>

using mangopulley::apply_changes;
using mangopulley::listed_target;
using mangopulley::target_history;
using mangopulley::target_list;

namespace {

[[nodiscard]] target_list list_of(const std::vector<std::string>& ids, const std::uint64_t revision) {
    target_list list{};
    list.position.revision = revision;
    for (const auto& id : ids) {
        listed_target target{};
        target.id = id;
        target.endpoint = id + ":80";
        list.targets.push_back(target);
    }
    return list;
}

} // namespace

TEST_GROUP(target_history) {
    target_history history{};
    target_list before{list_of({"a", "b", "c"}, 5U)};
    target_list after{list_of({"a", "c", "d"}, 9U)};

    void setup() override {
        history.record(digest_of(before), before);
        after.targets[1U].draining = true;
        history.record(digest_of(after), after);
    }
};

// Guards against a changed, new or removed target that is missing from the changes sent to another instance.
TEST(target_history, computes_changes_from_a_previous_list) {
    const auto changes = history.changes_since(digest_of(before), after);
    CHECK_TRUE(changes.has_value());
    LONGS_EQUAL(2, changes->changed.size());
    LONGS_EQUAL(1, changes->removed.size());
    const auto received = mangopulley::decode_changes(mangopulley::encode_changes(*changes));
    const auto applied = apply_changes(before, received.value());
    CHECK_TRUE(applied.has_value());
    CHECK_TRUE(applied->targets == after.targets);
    LONGS_EQUAL(9, applied->position.revision);
}

// Guards against applying changes to a list that they do not start from, and against a resulting list that differs from
// the sender's.
TEST(target_history, applies_changes_only_to_their_own_list) {
    auto changes = history.changes_since(digest_of(before), after).value();
    CHECK_FALSE(apply_changes(after, changes).has_value());
    changes.removed.clear();
    CHECK_FALSE(apply_changes(before, changes).has_value());
}

// Guards against changes computed from a list that was never recorded or has been evicted.
TEST(target_history, keeps_only_the_latest_lists) {
    CHECK_FALSE(history.changes_since(12'345U, after).has_value());
    for (unsigned number = 0U; number < 10U; ++number) {
        const auto other = list_of({"x" + std::to_string(number)}, number);
        history.record(digest_of(other), other);
    }
    CHECK_FALSE(history.changes_since(digest_of(before), after).has_value());
}
