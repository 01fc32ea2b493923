#include <fake/fake_clock.hpp>
#include <mangopulley/limit/share_table.hpp>

#include <CppUTest/TestHarness.h>

using mangopulley::demand_view;
using mangopulley::share_table;
using namespace std::chrono_literals;

TEST_GROUP(share_table) {
    fake::fake_clock time{};
};

// Guards against a sum of shares above the limit while the demand moves from one instance to another.
TEST(share_table, shares_never_add_up_to_more_than_the_limit_while_demand_moves) {
    share_table first{this->time};
    share_table second{this->time};
    for (int step = 0; step < 200; ++step) {
        const double moved = step < 50 ? 0.0 : 100.0;
        // The second instance hears of the move two seconds later than the first.
        const double moved_late = step < 54 ? 0.0 : 100.0;
        first.update("proof", demand_view{100.0 - moved, 100.0, 14U, true});
        second.update("proof", demand_view{moved_late, 100.0, 14U, true});
        CHECK_TRUE(first.share("proof") + second.share("proof") + (12.0 * 0.02) <= 1.0 + 1e-9);
        this->time.advance(500ms);
    }
    DOUBLES_EQUAL(0.74, second.share("proof"), 1e-9);
}

// Guards against an instance out of contact that goes on using a share that others have taken over.
TEST(share_table, drops_to_zero_without_standing) {
    share_table table{this->time};
    table.update("proof", demand_view{10.0, 10.0, 14U, true});
    CHECK_TRUE(table.share("proof") > 0.0);
    table.update("proof", demand_view{10.0, 10.0, 14U, false});
    DOUBLES_EQUAL(0.0, table.share("proof"), 0.0);
}

// Guards against an instance that wakes from a pause with the share it had before.
TEST(share_table, grows_again_only_after_the_delay_when_dropped) {
    share_table table{this->time};
    const demand_view view{10.0, 10.0, 14U, true};
    table.update("proof", view);
    this->time.advance(10s);
    table.update("proof", view);
    table.drop_all();
    for (int step = 0; step < 5; ++step) {
        this->time.advance(500ms);
        table.update("proof", view);
        DOUBLES_EQUAL(0.0, table.share("proof"), 0.0);
    }
    this->time.advance(501ms);
    table.update("proof", view);
    CHECK_TRUE(table.share("proof") > 0.7);
}
