#include <mangopulley/gateway/read_time_tracker.hpp>

#include <CppUTest/TestHarness.h>

using mangopulley::read_time_tracker;
using mangopulley::time_point;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(read_time_tracker) {
    read_time_tracker tracker{};
    time_point start{seconds{100}};
};

// Guards against a read that looks newer each time it is relayed, because its age excludes the transfer time.
TEST(read_time_tracker, keeps_the_earliest_time_reported_for_a_read) {
    CHECK_TRUE(tracker.earliest(1U, start, start) == start);
    CHECK_TRUE(tracker.earliest(1U, start + milliseconds{50}, start + seconds{1}) == start);
    CHECK_TRUE(tracker.earliest(1U, start - milliseconds{5}, start + seconds{1}) == start - milliseconds{5});
    CHECK_TRUE(tracker.earliest(2U, start + milliseconds{50}, start + seconds{1}) == start + milliseconds{50});
}

// Guards against a read number that is reused, after a restart or by chance, and keeps the time of an old read forever.
TEST(read_time_tracker, drops_old_reads) {
    CHECK_TRUE(tracker.earliest(1U, start, start) == start);
    const auto later = start + seconds{30};
    CHECK_TRUE(tracker.earliest(1U, later, later) == later);
}
