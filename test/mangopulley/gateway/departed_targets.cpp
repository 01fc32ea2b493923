#include <chrono>
#include <string>
#include <vector>

#include <mangopulley/gateway/departed_targets.hpp>

#include <CppUTest/TestHarness.h>

using mangopulley::departed_targets;
using mangopulley::listed_target;
using mangopulley::target_list;
using mangopulley::time_point;
using std::chrono::seconds;

namespace {

[[nodiscard]] listed_target make_target(const std::string& id, const std::uint64_t born = 1U,
                                        const bool draining = false) {
    listed_target target{};
    target.id = id;
    target.born = born;
    target.draining = draining;
    return target;
}

[[nodiscard]] target_list list_of(const std::vector<listed_target>& targets) {
    return {{1U, 1U}, targets};
}

} // namespace

TEST_GROUP(departed_targets) {
    departed_targets departed{};
    time_point trusted{seconds{100}};
};

// Guards against requests to a target whose departure the restored store does not know.
TEST(departed_targets, excludes_what_was_not_in_use_before_the_restore) {
    departed.begin(
        list_of({make_target("drained", 1U, true), make_target("kept"), make_target("restarted", 2U)}),
        list_of({make_target("drained"), make_target("kept"), make_target("removed"), make_target("restarted", 1U)}),
        trusted);
    CHECK_TRUE(departed.excludes(make_target("drained")));
    CHECK_TRUE(departed.excludes(make_target("removed")));
    CHECK_TRUE(departed.excludes(make_target("restarted", 1U)));
    CHECK_FALSE(departed.excludes(make_target("restarted", 2U)));
    CHECK_FALSE(departed.excludes(make_target("kept")));
    CHECK_FALSE_TEXT(departed.excludes(make_target("joined")), "a target that registers after the restore");
    LONGS_EQUAL(3, departed.size());
}

// Guards against an exclusion that ends with the time alone, and against one that never ends.
TEST(departed_targets, ends_with_a_list_read_after_stale_entries_have_expired) {
    departed.begin(list_of({}), list_of({make_target("a")}), trusted);
    CHECK_FALSE(departed.end(trusted - seconds{1}));
    CHECK_TRUE(departed.excludes(make_target("a")));
    CHECK_TRUE(departed.end(trusted));
    CHECK_FALSE(departed.excludes(make_target("a")));
    CHECK_FALSE(departed.end(trusted + seconds{1}));
}

// Guards against targets that stay excluded because of an earlier restore.
TEST(departed_targets, begins_anew_with_each_restore) {
    departed.begin(list_of({}), list_of({make_target("a")}), trusted);
    departed.begin(list_of({make_target("a")}), list_of({make_target("a"), make_target("b")}), trusted + seconds{3});
    CHECK_FALSE(departed.excludes(make_target("a")));
    CHECK_TRUE(departed.excludes(make_target("b")));
}
