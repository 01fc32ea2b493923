#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <fake/fake_clock.hpp>
#include <mangopulley/gateway/load_sharing.hpp>

#include <CppUTest/TestHarness.h>

using mangopulley::duration;
using mangopulley::event_loop;
using mangopulley::load_sharing;
using mangopulley::load_sharing_rule;
using mangopulley::peer_record;
using std::chrono::milliseconds;

namespace {

[[nodiscard]] peer_record leader(const std::string& ip, const std::string& zone) {
    peer_record record{};
    record.identity.name = ip;
    record.identity.ip = ip;
    record.identity.zone = zone;
    record.identity.millicores = 200U;
    return record;
}

} // namespace

TEST_GROUP(load_sharing) {
    fake::fake_clock time{};
    event_loop loop{time};
    std::vector<peer_record> leaders{leader("10.0.0.1", "zone-a"), leader("10.0.0.2", "zone-a"),
                                     leader("10.0.0.3", "zone-a"), leader("10.0.0.4", "zone-b")};
    std::vector<std::pair<std::string, std::string>> sent{};
    std::map<std::uint32_t, std::uint32_t> remote_in_flight{};
    std::vector<std::vector<std::string>> named{};
    load_sharing sharing{
        loop, load_sharing_rule{}, leaders.front().identity,
        load_sharing::outlets{
            [this] { return leaders; },
            [this](const std::string& ip, const std::string& bytes) { sent.emplace_back(ip, bytes); },
            [this](const std::uint32_t key, const std::uint32_t count) { remote_in_flight[key] = count; },
            [this](const std::vector<std::string>& names) { named.push_back(names); }}};

    void pass(const duration length) {
        for (duration done{}; done < length; done += milliseconds{1}) {
            time.advance(milliseconds{1});
            loop.turn(duration::zero());
        }
    }
};

// Guards against counts that go to instances which no caller uses, or back to the sender.
TEST(load_sharing, tells_the_other_named_instances_what_changed) {
    sharing.start();
    pass(milliseconds{260});
    LONGS_EQUAL(3, sharing.sharing());
    CHECK_TRUE_TEXT(sent.empty(), "an idle instance sends nothing");
    sharing.note(7U, 1U);
    sharing.note(7U, 2U);
    pass(milliseconds{5});
    LONGS_EQUAL_TEXT(1, sent.size(), "one message for several changes");
    STRCMP_EQUAL("10.0.0.2", sent[0U].first.c_str());
    pass(milliseconds{25});
    LONGS_EQUAL_TEXT(2, sent.size(), "other zones hear of it later");
    STRCMP_EQUAL("10.0.0.4", sent[1U].first.c_str());
    DOUBLES_EQUAL(1.0 / 3.0, sharing.own_part(), 0.001);
    CHECK_TRUE(sharing.receive("10.0.0.2", sent[0U].second));
    LONGS_EQUAL(2, remote_in_flight[7U]);
}

// Guards against a count that stays for ever at the others when the datagram that ended it was lost, or its sender
// died.
TEST(load_sharing, repeats_all_counts_and_forgets_silent_instances) {
    sharing.start();
    sharing.note(7U, 1U);
    pass(milliseconds{260});
    sent.clear();
    pass(milliseconds{250});
    LONGS_EQUAL(2, sent.size());
    CHECK_TRUE(sharing.receive("10.0.0.2", sent[0U].second));
    LONGS_EQUAL(1, remote_in_flight[7U]);
    pass(milliseconds{1'500});
    LONGS_EQUAL(0, remote_in_flight[7U]);
}

// Guards against callers that are told other instances without a line that says so, and against a line each time.
TEST(load_sharing, tells_once_when_other_instances_are_named) {
    sharing.start();
    pass(milliseconds{1'100});
    LONGS_EQUAL(1, named.size());
    LONGS_EQUAL(3, named.front().size());
    leaders.erase(leaders.begin() + 1);
    pass(milliseconds{300});
    LONGS_EQUAL(2, named.size());
    STRCMP_EQUAL("10.0.0.3", named.back()[1U].c_str());
}

// Guards against other datagrams of the same port being taken for counts.
TEST(load_sharing, leaves_other_messages_alone) {
    CHECK_FALSE(sharing.receive("10.0.0.2", "no message of loads"));
    CHECK_TRUE(remote_in_flight.empty());
}
