#include <map>

#include <mangopulley/gateway/shared_load.hpp>

#include <CppUTest/TestHarness.h>

using mangopulley::shared_load;
using mangopulley::time_point;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(shared_load) {
    time_point now{seconds{10}};
    std::map<std::uint32_t, std::uint32_t> reported{};
    shared_load here{[this](const std::uint32_t key, const std::uint32_t remote) { reported[key] = remote; }};
    shared_load other{[](std::uint32_t, std::uint32_t) {}};
    shared_load third{[](std::uint32_t, std::uint32_t) {}};
};

// Guards against totals that omit one of several senders or include a finished request.
TEST(shared_load, sums_the_requests_in_flight_of_other_instances) {
    const auto key = shared_load::key_of("t1");
    other.record(key, 2U);
    third.record(key, 1U);
    CHECK_TRUE(here.receive("10.0.0.2", *other.take_changes(shared_load::audience::own_zone), now));
    CHECK_TRUE(here.receive("10.0.0.3", *third.take_changes(shared_load::audience::own_zone), now));
    LONGS_EQUAL(3, reported[key]);
    other.record(key, 0U);
    CHECK_TRUE(here.receive("10.0.0.2", *other.take_changes(shared_load::audience::own_zone), now));
    LONGS_EQUAL(1, here.remote_in_flight(key));
    CHECK_FALSE(other.take_changes(shared_load::audience::own_zone).has_value());
}

// Guards against slots that stay occupied forever after a lost datagram or the death of a sender.
TEST(shared_load, recovers_from_lost_messages_and_dead_senders) {
    const auto first = shared_load::key_of("t1");
    const auto second = shared_load::key_of("t2");
    other.record(first, 1U);
    CHECK_TRUE(here.receive("10.0.0.2", *other.take_changes(shared_load::audience::own_zone), now));
    other.record(first, 0U);
    other.record(second, 1U);
    static_cast<void>(other.take_changes(shared_load::audience::own_zone));
    CHECK_TRUE(here.receive("10.0.0.2", other.all(), now));
    LONGS_EQUAL(0, here.remote_in_flight(first));
    LONGS_EQUAL(1, here.remote_in_flight(second));
    here.expire(now + milliseconds{500});
    LONGS_EQUAL(1, here.remote_in_flight(second));
    here.expire(now + seconds{2});
    LONGS_EQUAL(0, reported[second]);
}

// Guards against malformed or unrelated datagrams on the port.
TEST(shared_load, rejects_malformed_messages) {
    for (const char* bytes :
         {"", "x", "\x93\x01\xc2\x90", "\x93\x03\xc2\x91\x01", "\x93\x03\xc2\xdd\xff\xff\xff\xff"}) {
        CHECK_FALSE(here.receive("10.0.0.9", bytes, now));
    }
    CHECK_TRUE(reported.empty());
}
