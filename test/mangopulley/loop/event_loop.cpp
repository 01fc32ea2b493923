#include <vector>

#include <fake/fake_clock.hpp>
#include <mangopulley/loop/event_loop.hpp>

#include <CppUTest/TestHarness.h>

using mangopulley::duration;
using mangopulley::event_loop;
using std::chrono::milliseconds;

TEST_GROUP(event_loop) {
    fake::fake_clock time{};
    event_loop loop{time};

    void advance(const milliseconds step) {
        time.advance(step);
        loop.turn(duration::zero());
    }
};

// Guards against timers that fire early, twice or out of order.
TEST(event_loop, fires_timers_in_order_of_due_time) {
    std::vector<int> fired{};
    loop.after(milliseconds{20}, [&] { fired.push_back(2); });
    loop.after(milliseconds{10}, [&] { fired.push_back(1); });
    advance(milliseconds{5});
    CHECK_TRUE(fired.empty());
    advance(milliseconds{30});
    CHECK_TRUE((fired == std::vector<int>{1, 2}));
    advance(milliseconds{30});
    LONGS_EQUAL(2, fired.size());
}

// Guards against a cancelled timer that still fires, including a periodic timer that cancels itself.
TEST(event_loop, drops_cancelled_timers) {
    int count = 0;
    const auto once = loop.after(milliseconds{10}, [&] { ++count; });
    loop.cancel(once);
    mangopulley::timer_id repeated = 0U;
    repeated = loop.every(milliseconds{10}, [&] {
        if (++count == 3) {
            loop.cancel(repeated);
        }
    });
    for (int step = 0; step < 10; ++step) {
        advance(milliseconds{10});
    }
    LONGS_EQUAL(3, count);
}
