#include <algorithm>
#include <array>

#include <mangopulley/limit/share_table.hpp>

#include <CppUTest/TestHarness.h>

using mangopulley::demand_view;
using mangopulley::share_table;

namespace {

[[nodiscard]] double share_of(const demand_view& view) {
    share_table table{};
    table.update("proofs", view);
    return table.share("proofs");
}

} // namespace

TEST_GROUP(share_table){};

// Guards against refusals below the limit: all callers of a service may reach one instance at once, as after the loss
// of its primary, and that instance must be able to use the whole limit without delay.
TEST(share_table, leaves_the_whole_limit_to_the_only_instance_with_demand) {
    for (const double own : {0.0, 1.0, 700.0, 2000.0}) {
        DOUBLES_EQUAL(1.0, share_of({own, 0.0, 1000.0, 14U, true}), 1e-9);
    }
}

// Guards against a sum of shares above the limit once the instances know each other's demand: at any demand above the
// limit the shares add up to it, and only the minimum shares of instances without demand may exceed it.
TEST(share_table, shares_add_up_to_the_limit_under_overload) {
    const std::array<double, 4> demands{1500.0, 300.0, 200.0, 0.0};
    double sum = 0.0;
    for (const double own : demands) {
        sum += share_of({own, 2000.0 - own, 1000.0, demands.size(), true});
    }
    CHECK_TRUE(sum >= 1.0 - 1e-9);
    CHECK_TRUE(sum <= 1.0 + 0.02 + 1e-9);
}

// Guards against use beyond the limit at demands below it: beyond its own demand, an instance may use only what is
// left.
TEST(share_table, never_allows_an_instance_more_than_the_others_leave) {
    for (double others = 0.0; others <= 1000.0; others += 50.0) {
        const double own = std::min(100.0, 1000.0 - others);
        const double allowed = 1000.0 * share_of({own, others, 1000.0, 14U, true});
        CHECK_TRUE(allowed + others <= 1000.0 + (0.02 * 1000.0) + 1e-6);
        CHECK_TRUE(allowed >= own - 1e-6);
    }
}

// Guards against an instance out of contact, or just resumed, that keeps using a share that others have taken over.
TEST(share_table, drops_to_zero_without_contact_and_after_a_pause) {
    DOUBLES_EQUAL(0.0, share_of({10.0, 0.0, 1000.0, 14U, false}), 0.0);
    share_table table{};
    table.update("proofs", {10.0, 0.0, 1000.0, 14U, true});
    table.drop_all();
    DOUBLES_EQUAL(0.0, table.share("proofs"), 0.0);
}
