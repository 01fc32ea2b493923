#include <fake/fake_clock.hpp>
#include <mangopulley/membership/member_table.hpp>

#include <CppUTest/TestHarness.h>

using namespace mangopulley;

TEST_GROUP(listed_endpoint){};

// Guards against messages to the advertised address of an instance that is only reachable by the platform's address,
// such as behind address translation: the platform's list takes precedence, whichever arrives first.
TEST(listed_endpoint, overrides_the_endpoint_an_instance_advertises) {
    for (const bool list_first : {true, false}) {
        const fake::fake_clock time{};
        member own{};
        own.incarnation = incarnation_id{1U};
        own.instance_name = "entry-1";
        member_table table{time, own};
        member other{};
        other.incarnation = incarnation_id{2U};
        other.instance_name = "entry-2";
        other.peer_endpoint = "10.0.0.2:1";
        const instance_list list{1U, {{"entry-2", "entry", "", "10.9.9.9:7", "a", "r", false}}};
        if (list_first) {
            CHECK_TRUE(table.set_instances(list));
        }
        table.record_direct(other, time.now(), evidence::message);
        if (!list_first) {
            CHECK_TRUE(table.set_instances(list));
        }
        CHECK_TRUE(table.find(other.incarnation)->peer_endpoint == "10.9.9.9:7");
    }
}
