#include <exception>
#include <new>
#include <stdexcept>
#include <string>
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

// Guards against a periodic timer that is lost, and a process that ends, because it could not be copied for want of
// memory.
TEST(event_loop, repeats_a_timer_that_cannot_be_copied) {
    struct uncopyable_later {
        const bool& copying_fails;
        int& count;
        uncopyable_later(const bool& fails, int& counter) : copying_fails{fails}, count{counter} {}
        uncopyable_later(const uncopyable_later& other) : copying_fails{other.copying_fails}, count{other.count} {
            if (this->copying_fails) {
                throw std::bad_alloc{};
            }
        }
        uncopyable_later& operator=(const uncopyable_later&) = delete;
        void operator()() const { ++this->count; }
    };
    event_loop contained{time, [](const std::exception&) {}};
    bool copying_fails = false;
    int count = 0;
    contained.every(milliseconds{10}, uncopyable_later{copying_fails, count});
    copying_fails = true;
    for (int turn = 0; turn < 3; ++turn) {
        time.advance(milliseconds{10});
        contained.turn(duration::zero());
    }
    LONGS_EQUAL(3, count);
}

// Guards against a process that ends, and loses all requests on it, because of one callback that failed.
TEST(event_loop, goes_on_after_a_callback_that_throws) {
    std::vector<std::string> causes{};
    event_loop contained{time, [&](const std::exception& error) {
                             causes.emplace_back(error.what());
                             throw std::runtime_error{"no memory for the report"};
                         }};
    int periodic = 0;
    bool later = false;
    contained.every(milliseconds{10}, [&] {
        ++periodic;
        throw std::runtime_error{"periodic"};
    });
    contained.after(milliseconds{10}, [] { throw std::bad_alloc{}; });
    contained.after(milliseconds{10}, [&] { later = true; });
    for (int turn = 0; turn < 3; ++turn) {
        time.advance(milliseconds{10});
        contained.turn(duration::zero());
    }
    CHECK_TRUE(later);
    LONGS_EQUAL(3, periodic);
    LONGS_EQUAL(4, causes.size());
    STRCMP_EQUAL("periodic", causes.front().c_str());
}
