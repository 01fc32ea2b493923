#include <atomic>
#include <chrono>
#include <semaphore>

#include <mangopulley/membership/task_runner.hpp>

#include <CppUTest/TestHarness.h>

TEST_GROUP(task_runner){};

// Guards against an unresponsive peer that delays calls to others.
TEST(task_runner, a_blocked_task_delays_no_other) {
    std::atomic<int> done{};
    std::binary_semaphore unblock{0};
    std::counting_semaphore<> finished{0};
    {
        mangopulley::pool_runner runner{2U, 8U};
        runner.run([&] { unblock.acquire(); });
        for (int count = 0; count < 5; ++count) {
            runner.run([&] {
                ++done;
                finished.release();
            });
        }
        for (int count = 0; count < 5; ++count) {
            CHECK_TRUE(finished.try_acquire_for(std::chrono::seconds{10}));
        }
        unblock.release();
    }
    CHECK_EQUAL(5, done.load());
}

// Guards against unbounded growth of the queue while all threads are blocked.
TEST(task_runner, drops_tasks_beyond_the_limit) {
    std::atomic<int> done{};
    std::binary_semaphore unblock{0};
    std::binary_semaphore started{0};
    std::counting_semaphore<> finished{0};
    mangopulley::pool_runner runner{1U, 3U};
    runner.run([&] {
        started.release();
        unblock.acquire();
    });
    started.acquire();
    for (int count = 0; count < 10; ++count) {
        runner.run([&] {
            ++done;
            finished.release();
        });
    }
    unblock.release();
    for (int count = 0; count < 3; ++count) {
        CHECK_TRUE(finished.try_acquire_for(std::chrono::seconds{10}));
    }
    CHECK_FALSE(finished.try_acquire_for(std::chrono::milliseconds{20}));
    CHECK_EQUAL(3, done.load());
}
