#include <algorithm>
#include <random>
#include <vector>

#include <mangopulley/gateway/fleet_retry_budget.hpp>

#include <CppUTest/TestHarness.h>

using mangopulley::fleet_retry_budget;
using mangopulley::retry_limits;
using mangopulley::time_point;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(fleet_retry_budget){};

// Guards against a retry storm: in no window do all instances together exceed ratio and slack, also when
// every instance restarts with an unused budget and when the load drops.
TEST(fleet_retry_budget, holds_in_every_window_across_instances_and_restarts) {
    constexpr std::size_t instances = 6U;
    constexpr int steps = 6'000;
    constexpr int steps_per_window = 1'000;
    const retry_limits limits{0.2, 56.0, seconds{10}};
    std::mt19937 random{20261204U};
    std::vector<fleet_retry_budget> budgets(instances, fleet_retry_budget{limits});
    for (auto& budget : budgets) {
        budget.configure(limits, instances);
    }
    // Cumulative counts up to each step.
    std::vector<int> requests(steps + 1, 0);
    std::vector<int> retries(steps + 1, 0);
    const auto between = [](const std::vector<int>& sums, const int from, const int to) {
        return sums[static_cast<std::size_t>(std::max(to, 0))] - sums[static_cast<std::size_t>(std::max(from, 0))];
    };
    time_point now{seconds{100}};
    for (int step = 1; step <= steps; ++step, now += milliseconds{10}) {
        const bool busy = (step / 700) % 2 == 0;
        requests[static_cast<std::size_t>(step)] = requests[static_cast<std::size_t>(step) - 1U];
        retries[static_cast<std::size_t>(step)] = retries[static_cast<std::size_t>(step) - 1U];
        for (auto& budget : budgets) {
            if (step == steps / 2) {
                budget = fleet_retry_budget{limits};
                budget.configure(limits, instances);
            }
            if (busy && random() % 4U == 0U) {
                budget.count_request(now);
                ++requests[static_cast<std::size_t>(step)];
            }
            retries[static_cast<std::size_t>(step)] += budget.try_take(now) ? 1 : 0;
        }
        const int half = steps_per_window / 2;
        const int counted = std::max({between(requests, step - steps_per_window, step),
                                      between(requests, step - steps_per_window - half, step - half),
                                      between(requests, step - 2 * steps_per_window, step - steps_per_window)});
        CHECK_TRUE(between(retries, step - steps_per_window, step) <= limits.ratio * counted + limits.slack);
    }
    CHECK_TRUE(retries.back() > 0);
}

// Guards against one instance using up the slack of all instances.
TEST(fleet_retry_budget, gives_each_instance_a_share_of_the_slack) {
    const retry_limits limits{0.0, 56.0, seconds{10}};
    fleet_retry_budget budget{limits};
    budget.configure(limits, 7U);
    const time_point now{seconds{50}};
    int granted = 0;
    while (budget.try_take(now)) {
        ++granted;
    }
    CHECK_TRUE(granted * 7 <= 56);
    CHECK_TRUE(granted >= 1);
    CHECK_FALSE(budget.try_take(now + seconds{9}));
    CHECK_TRUE(budget.try_take(now + seconds{12}));
}
