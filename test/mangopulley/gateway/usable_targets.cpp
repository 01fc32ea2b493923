#include <chrono>
#include <string>
#include <vector>

#include <mangopulley/gateway/usable_targets.hpp>

#include <CppUTest/TestHarness.h>

using mangopulley::listed_target;
using mangopulley::target_list;
using mangopulley::time_point;
using mangopulley::usable_targets;
using std::chrono::seconds;

TEST_GROUP(usable_targets) {
    usable_targets usable{};
    time_point now{seconds{100}};

    static target_list list_of(const std::vector<std::string>& ids, const std::uint64_t born = 1U) {
        target_list list{};
        for (const auto& id : ids) {
            listed_target target{};
            target.id = id;
            target.born = born;
            target.endpoint = id + ":80";
            list.targets.push_back(target);
        }
        return list;
    }

    std::vector<std::string> ids() const {
        std::vector<std::string> found{};
        for (const auto& target : usable.list().targets) {
            found.push_back(target.id);
        }
        return found;
    }
};

// Guards against losing targets whose entries expired while the store was away, and against keeping them for good.
TEST(usable_targets, keeps_missing_targets_for_a_while) {
    usable.update(list_of({"a", "b"}));
    usable.retain_missing(list_of({"a"}), now + seconds{2});
    usable.update(list_of({"a"}));
    CHECK_TRUE((ids() == std::vector<std::string>{"a", "b"}));
    LONGS_EQUAL(0, usable.expire_missing(now + seconds{1}));
    LONGS_EQUAL(1, usable.expire_missing(now + seconds{2}));
    usable.update(list_of({"a"}));
    CHECK_TRUE(ids() == std::vector<std::string>{"a"});
}

// Guards against two entries for one target that registered again, at its address or under its id.
TEST(usable_targets, replaces_a_missing_target_that_registers_again) {
    usable.update(list_of({"a"}));
    usable.retain_missing(list_of({}), now + seconds{2});
    usable.update(list_of({"a"}, 2U));
    LONGS_EQUAL(1, usable.list().targets.size());
    LONGS_EQUAL(2, usable.list().targets.front().born);
    LONGS_EQUAL(0, usable.missing_count());
}

// Guards against departed targets of a restored list, at the instance that saw the restore and at one that was told.
TEST(usable_targets, excludes_departed_targets_until_a_list_is_trusted) {
    const auto restored = list_of({"a", "left"});
    usable.update(list_of({"a"}));
    usable.exclude_departed(restored, now + seconds{6});
    usable.update(restored);
    CHECK_TRUE(ids() == std::vector<std::string>{"a"});
    usable_targets other{};
    CHECK_FALSE(other.knows_departures());
    other.exclude(usable.departures(now), now);
    CHECK_TRUE(other.knows_departures());
    other.update(restored);
    LONGS_EQUAL(1, other.list().targets.size());
    CHECK_FALSE(other.end_exclusion(now + seconds{5}));
    CHECK_TRUE(other.end_exclusion(now + seconds{6}));
    other.update(restored);
    LONGS_EQUAL(2, other.list().targets.size());
}
