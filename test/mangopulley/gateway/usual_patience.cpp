#include <random>

#include <mangopulley/gateway/usual_patience.hpp>

#include <CppUTest/TestHarness.h>

using mangopulley::duration;
using mangopulley::usual_patience;
using std::chrono::milliseconds;

TEST_GROUP(usual_patience){};

// Guards against first attempts being taken for repetitions because a few callers wait longer than the others: those
// were refused as late whenever the line was crowded.
TEST(usual_patience, is_not_misled_by_a_few_patient_callers) {
    usual_patience patience{};
    std::mt19937 random{3U};
    int taken_for_repetitions = 0;
    for (int number = 0; number < 2'000; ++number) {
        const auto kind = random() % 100U;
        if (kind < 4U) {
            CHECK_TRUE(patience.spent(milliseconds{12'000}) == duration::zero());
        } else if (kind < 30U) {
            const auto left = static_cast<int>(random() % 3'500U) + 100;
            const auto spent = patience.spent(milliseconds{left});
            CHECK_TRUE(number < 200 || spent == milliseconds{4'000 - left});
        } else if (patience.spent(milliseconds{4'000}) != duration::zero()) {
            ++taken_for_repetitions;
        }
    }
    CHECK_TRUE(taken_for_repetitions <= 2);
}
