#include <optional>
#include <string>
#include <vector>

#include <mangopulley/core/registry.hpp>
#include <mangopulley/routing/policy.hpp>

#include <CppUTest/TestHarness.h>

using mangopulley::make_policy;
using mangopulley::policy_request;
using mangopulley::target_view;

TEST_GROUP(policy){};

// Guards against sending requests to slow or full targets, and against idle slots while requests wait.
TEST(policy, slot_aware_chooses_the_fastest_free_target) {
    const target_view idle{.slots = 2U};
    const target_view half{.own_in_flight = 1U, .slots = 2U};
    const target_view full{.own_in_flight = 1U, .remote_in_flight = 1U, .slots = 2U};
    const target_view slow{.slots = 2U, .slowdown = 3.0};
    const target_view aged{.own_in_flight = 1U, .slots = 2U, .oldest_age = 2.5};
    const target_view suspect{.slots = 2U, .suspect = true};
    const target_view avoided{.slots = 2U, .suspect = true, .avoided = true};
    const target_view open_trial{.slots = 2U, .suspect = true, .avoided = true, .trial_open = true};
    const target_view due_trial{.slots = 2U, .suspect = true, .avoided = true, .trial_open = true, .trial_due = true};
    const policy_request non_idempotent{};
    const policy_request idempotent_read{.idempotent = true};
    const policy_request hedgeable{.idempotent = true, .hedgeable = true};
    const policy_request waited{.waited_long = true};
    const policy_request extra_attempt_request{.idempotent = true, .extra_attempt = true};
    struct expectation {
        const char* name;
        std::vector<target_view> targets;
        policy_request request;
        std::optional<std::size_t> expected;
    };
    const expectation cases[] = {
        {"no target", {}, non_idempotent, std::nullopt},
        {"all full", {full, full}, non_idempotent, std::nullopt},
        {"idle before half busy", {half, idle}, non_idempotent, 1U},
        {"half busy before slow", {slow, half}, non_idempotent, 1U},
        {"half busy before one with an overdue request", {aged, half}, non_idempotent, 1U},
        {"slow before waiting", {full, slow}, non_idempotent, 1U},
        {"suspect but not avoided", {full, suspect}, non_idempotent, 1U},
        {"avoided without trial", {full, avoided}, idempotent_read, std::nullopt},
        {"trial by an idempotent request when nothing is free", {full, open_trial}, idempotent_read, 1U},
        {"no trial by a non-idempotent request at once", {full, open_trial}, non_idempotent, std::nullopt},
        {"trial by a non-idempotent request after a long wait", {full, open_trial}, waited, 1U},
        {"no trial while others are free", {half, open_trial}, hedgeable, 0U},
        {"due trial by a hedgeable request", {half, due_trial}, hedgeable, 1U},
        {"no due trial by a request that cannot be hedged", {half, due_trial}, idempotent_read, 0U},
        {"no retry or hedge at a suspect target", {full, suspect}, extra_attempt_request, std::nullopt},
    };
    const auto tested = make_policy("slot_aware", 1U);
    for (const auto& item : cases) {
        const auto actual = tested->choose(item.targets, item.request);
        CHECK_EQUAL_TEXT(item.expected.has_value(), actual.has_value(), item.name);
        CHECK_EQUAL_TEXT(item.expected.value_or(0U), actual.value_or(0U), item.name);
    }
}

// Guards against baseline policies that wait, differ between runs with the same seed, or leave targets out.
TEST(policy, baselines_use_all_targets_and_are_deterministic_for_a_seed) {
    const std::vector<target_view> busy(14U, target_view{.own_in_flight = 5U, .slots = 2U});
    for (const auto* name : {"random", "round_robin", "least_in_flight", "two_choices"}) {
        const auto tested = make_policy(name, 7U);
        const auto other = make_policy(name, 7U);
        STRCMP_EQUAL(name, std::string{tested->name()}.c_str());
        std::vector<int> use_counts(busy.size());
        for (int number = 0; number < 1400; ++number) {
            const auto chosen = tested->choose(busy, {});
            CHECK_TRUE(chosen.has_value());
            CHECK_TRUE(chosen == other->choose(busy, {}));
            ++use_counts[*chosen];
        }
        for (const auto count : use_counts) {
            CHECK_TRUE_TEXT(count > 50, name);
        }
        CHECK_FALSE(tested->choose({}, {}).has_value());
    }
    CHECK_TRUE(make_policy("unheard_of", 1U) == nullptr);
}

// Guards against baseline policies that ignore the load they are meant to compare.
TEST(policy, baselines_prefer_the_less_loaded_target) {
    const std::vector<target_view> two{{.own_in_flight = 1U, .slots = 2U, .reported = 9U},
                                       {.own_in_flight = 2U, .slots = 2U}};
    CHECK_EQUAL(0U, *make_policy("least_in_flight", 1U)->choose(two, {}));
    CHECK_EQUAL(1U, *make_policy("two_choices", 1U)->choose(two, {}));
}
