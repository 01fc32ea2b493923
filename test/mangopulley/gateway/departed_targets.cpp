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
    time_point now{seconds{100}};
};

// Guards against requests to a target whose departure the restored store does not know.
TEST(departed_targets, excludes_what_left_before_a_restore) {
    departed.record(list_of({make_target("removed"), make_target("drained"), make_target("kept")}),
                    list_of({make_target("drained", 1U, true), make_target("kept")}), now);
    CHECK_FALSE_TEXT(departed.excludes(make_target("removed")), "without a restore the list is right");
    now += seconds{3};
    departed.begin_exclusion(now);
    CHECK_TRUE(departed.excludes(make_target("removed")));
    CHECK_TRUE(departed.excludes(make_target("drained")));
    CHECK_FALSE(departed.excludes(make_target("kept")));
    CHECK_FALSE_TEXT(departed.excludes(make_target("removed", 2U)), "a new incarnation knows nothing of the old one");
}

// Guards against a target that stays unused although it renews its entry.
TEST(departed_targets, trusts_the_list_again_when_stale_entries_have_expired) {
    departed.record(list_of({make_target("a")}), list_of({}), now);
    departed.begin_exclusion(now + seconds{1});
    CHECK_FALSE(departed.end_exclusion(now + seconds{5}));
    CHECK_TRUE(departed.excludes(make_target("a")));
    CHECK_TRUE(departed.end_exclusion(now + seconds{8}));
    CHECK_FALSE(departed.excludes(make_target("a")));
    CHECK_FALSE(departed.end_exclusion(now + seconds{9}));
}

// Guards against excluding targets that the copy lacks, and those whose entry had only expired for a while.
TEST(departed_targets, excludes_no_target_that_registers_again) {
    departed.record(list_of({make_target("expired")}), list_of({}), now);
    departed.record(list_of({}), list_of({make_target("expired"), make_target("joined")}), now + seconds{2});
    departed.begin_exclusion(now + seconds{4});
    departed.record(list_of({make_target("expired"), make_target("joined")}), list_of({make_target("expired")}),
                    now + seconds{4});
    CHECK_FALSE(departed.excludes(make_target("expired")));
    CHECK_FALSE(departed.excludes(make_target("joined")));
}
