#include <atomic>
#include <chrono>
#include <semaphore>

#include <mangopulley/membership/task_runner.hpp>

#include <CppUTest/TestHarness.h>

TEST_GROUP(task_runner){};

// Guards against a peer that does not answer and holds up calls to others, and against a queue without bound.
TEST(task_runner, a_stuck_task_holds_up_no_other) {
    std::atomic<int> done{};
    std::binary_semaphore stuck{0};
    std::counting_semaphore<> finished{0};
    {
        mangopulley::pool_runner runner{2U, 8U};
        runner.run([&] { stuck.acquire(); });
        for (int count = 0; count < 5; ++count) {
            runner.run([&] {
                ++done;
                finished.release();
            });
        }
        for (int count = 0; count < 5; ++count) {
            CHECK_TRUE(finished.try_acquire_for(std::chrono::seconds{10}));
        }
        stuck.release();
    }
    CHECK_EQUAL(5, done.load());
}

// Guards against tasks that pile up while all threads are stuck.
TEST(task_runner, drops_tasks_beyond_the_limit) {
    std::atomic<int> done{};
    std::binary_semaphore stuck{0};
    std::binary_semaphore begun{0};
    std::counting_semaphore<> finished{0};
    mangopulley::pool_runner runner{1U, 3U};
    runner.run([&] {
        begun.release();
        stuck.acquire();
    });
    begun.acquire();
    for (int count = 0; count < 10; ++count) {
        runner.run([&] {
            ++done;
            finished.release();
        });
    }
    stuck.release();
    for (int count = 0; count < 3; ++count) {
        CHECK_TRUE(finished.try_acquire_for(std::chrono::seconds{10}));
    }
    CHECK_FALSE(finished.try_acquire_for(std::chrono::milliseconds{20}));
    CHECK_EQUAL(3, done.load());
}
