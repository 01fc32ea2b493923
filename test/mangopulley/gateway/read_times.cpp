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

// Guards against a read that looks newer each time it is told on, for the way takes time that its age leaves out.
TEST(read_times, keeps_the_earliest_time_told_for_a_read) {
    CHECK_TRUE(times.earliest(1U, start, start) == start);
    CHECK_TRUE(times.earliest(1U, start + milliseconds{50}, start + seconds{1}) == start);
    CHECK_TRUE(times.earliest(1U, start - milliseconds{5}, start + seconds{1}) == start - milliseconds{5});
    CHECK_TRUE(times.earliest(2U, start + milliseconds{50}, start + seconds{1}) == start + milliseconds{50});
}

// Guards against a number used anew, after a restart or by chance, that would be given the time of an old read for
// ever.
TEST(read_times, forgets_old_reads) {
    CHECK_TRUE(times.earliest(1U, start, start) == start);
    const auto later = start + seconds{30};
    CHECK_TRUE(times.earliest(1U, later, later) == later);
}
