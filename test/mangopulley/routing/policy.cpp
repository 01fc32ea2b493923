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

// Guards against work for slow or full targets, and against idle slots while requests wait.
TEST(policy, slot_aware_chooses_the_fastest_free_target) {
    const target_view idle{.slots = 2U};
    const target_view half{.own = 1U, .slots = 2U};
    const target_view full{.own = 1U, .foreign = 1U, .slots = 2U};
    const target_view slow{.slots = 2U, .slowdown = 3.0};
    const target_view aged{.own = 1U, .slots = 2U, .oldest_age = 2.5};
    const target_view suspect{.slots = 2U, .suspect = true};
    const target_view avoided{.slots = 2U, .suspect = true, .avoided = true};
    const target_view open{.slots = 2U, .suspect = true, .avoided = true, .trial_open = true};
    const target_view due{.slots = 2U, .suspect = true, .avoided = true, .trial_open = true, .trial_due = true};
    const policy_request order{};
    const policy_request read{.idempotent = true};
    const policy_request hedgeable{.idempotent = true, .hedgeable = true};
    const policy_request patient{.waited_long = true};
    const policy_request second{.idempotent = true, .second_attempt = true};
    struct expectation {
        const char* name;
        std::vector<target_view> targets;
        policy_request request;
        std::optional<std::size_t> chosen;
    };
    const expectation cases[] = {
        {"no target", {}, order, std::nullopt},
        {"all full", {full, full}, order, std::nullopt},
        {"idle before half busy", {half, idle}, order, 1U},
        {"half busy before slow", {slow, half}, order, 1U},
        {"half busy before one with an old request", {aged, half}, order, 1U},
        {"slow before waiting", {full, slow}, order, 1U},
        {"suspect but not avoided", {full, suspect}, order, 1U},
        {"avoided without trial", {full, avoided}, read, std::nullopt},
        {"trial by an idempotent request when nothing is free", {full, open}, read, 1U},
        {"no trial by an order at once", {full, open}, order, std::nullopt},
        {"trial by an order after a long wait", {full, open}, patient, 1U},
        {"no trial while others are free", {half, open}, hedgeable, 0U},
        {"trial when it is due and a hedge can rescue the request", {half, due}, hedgeable, 1U},
        {"no due trial without hedge", {half, due}, read, 0U},
        {"no second attempt at a suspect", {full, suspect}, second, std::nullopt},
    };
    const auto tested = make_policy("slot_aware", 1U);
    for (const auto& item : cases) {
        const auto seen = tested->choose(item.targets, item.request);
        CHECK_EQUAL_TEXT(item.chosen.has_value(), seen.has_value(), item.name);
        CHECK_EQUAL_TEXT(item.chosen.value_or(0U), seen.value_or(0U), item.name);
    }
}

// Guards against baselines that wait, differ between runs with the same seed, or leave targets out.
TEST(policy, baselines_use_all_targets_at_once_and_repeat_with_the_same_seed) {
    const std::vector<target_view> busy(14U, target_view{.own = 5U, .slots = 2U});
    for (const auto* name : {"random", "round_robin", "least_in_flight", "two_choices"}) {
        const auto one = make_policy(name, 7U);
        const auto other = make_policy(name, 7U);
        STRCMP_EQUAL(name, std::string{one->name()}.c_str());
        std::vector<int> uses(busy.size());
        for (int number = 0; number < 1400; ++number) {
            const auto chosen = one->choose(busy, {});
            CHECK_TRUE(chosen.has_value());
            CHECK_TRUE(chosen == other->choose(busy, {}));
            ++uses[*chosen];
        }
        for (const auto count : uses) {
            CHECK_TRUE_TEXT(count > 50, name);
        }
        CHECK_FALSE(one->choose({}, {}).has_value());
    }
    CHECK_TRUE(make_policy("unheard_of", 1U) == nullptr);
}

// Guards against baselines that ignore what they are named after.
TEST(policy, baselines_prefer_the_less_loaded_target) {
    const std::vector<target_view> two{{.own = 1U, .slots = 2U, .reported = 9U}, {.own = 2U, .slots = 2U}};
    CHECK_EQUAL(0U, *make_policy("least_in_flight", 1U)->choose(two, {}));
    CHECK_EQUAL(1U, *make_policy("two_choices", 1U)->choose(two, {}));
}
