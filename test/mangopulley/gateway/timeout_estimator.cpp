#include <random>

#include <mangopulley/gateway/timeout_estimator.hpp>

#include <CppUTest/TestHarness.h>

using mangopulley::duration;
using mangopulley::timeout_estimator;
using std::chrono::milliseconds;

TEST_GROUP(timeout_estimator){};

// Guards against treating first attempts as retries because a few callers have a longer timeout: such attempts counted
// as late and were refused whenever the queue was overloaded.
TEST(timeout_estimator, ignores_a_few_callers_with_longer_timeouts) {
    timeout_estimator timeouts{};
    std::mt19937 random{3U};
    int treated_as_retries = 0;
    for (int number = 0; number < 2'000; ++number) {
        const auto kind = random() % 100U;
        if (kind < 4U) {
            CHECK_TRUE(timeouts.spent(milliseconds{12'000}) == duration::zero());
        } else if (kind < 30U) {
            const auto left = static_cast<int>(random() % 3'500U) + 100;
            const auto spent = timeouts.spent(milliseconds{left});
            CHECK_TRUE(number < 200 || spent == milliseconds{4'000 - left});
        } else if (timeouts.spent(milliseconds{4'000}) != duration::zero()) {
            ++treated_as_retries;
        }
    }
    CHECK_TRUE(treated_as_retries <= 2);
}
