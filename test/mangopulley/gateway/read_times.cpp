#include <mangopulley/gateway/read_times.hpp>

#include <CppUTest/TestHarness.h>

using mangopulley::read_times;
using mangopulley::time_point;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(read_times) {
    read_times times{};
    time_point start{seconds{100}};
};

// Guards against a read that looks newer each time it is relayed, because its age excludes the transfer time.
TEST(read_times, keeps_the_earliest_time_reported_for_a_read) {
    CHECK_TRUE(times.earliest(1U, start, start) == start);
    CHECK_TRUE(times.earliest(1U, start + milliseconds{50}, start + seconds{1}) == start);
    CHECK_TRUE(times.earliest(1U, start - milliseconds{5}, start + seconds{1}) == start - milliseconds{5});
    CHECK_TRUE(times.earliest(2U, start + milliseconds{50}, start + seconds{1}) == start + milliseconds{50});
}

// Guards against a read number that is reused, after a restart or by chance, and keeps the time of an old read forever.
TEST(read_times, forgets_old_reads) {
    CHECK_TRUE(times.earliest(1U, start, start) == start);
    const auto later = start + seconds{30};
    CHECK_TRUE(times.earliest(1U, later, later) == later);
}
