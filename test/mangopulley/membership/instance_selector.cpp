#include <map>
#include <set>

#include <fake/fake_clock.hpp>
#include <mangopulley/membership/instance_selector.hpp>
#include <mangopulley/membership/member_table.hpp>

#include <CppUTest/TestHarness.h>

using mangopulley::evidence;
using mangopulley::incarnation_id;
using mangopulley::member;
using mangopulley::member_state;
using namespace std::chrono_literals;

TEST_GROUP(instance_selector) {
    fake::fake_clock time{};
    mangopulley::member_table table{time, describe(0U)};
    mangopulley::instance_selector selector{table};

    static member describe(const std::uint64_t index) {
        return {.incarnation = incarnation_id{1000U + index},
                .instance_name = "entry-" + std::to_string(index),
                .peer_endpoint = "10.0.0." + std::to_string(index) + ":7100",
                .caller_address = "10.0.0." + std::to_string(index) + ":7000",
                .zone = "riga-" + std::to_string(index % 3U),
                .region = "riga",
                .serving = true};
    }

    void record_all() {
        for (std::uint64_t index = 1U; index < 14U; ++index) {
            this->table.record_direct(describe(index), this->time.now(), evidence::reply);
        }
    }

    void setup() override {
        this->record_all();
    }
};

// Guards against backups in the zone of the primary, addresses of leaving or not serving instances, and uneven
// distribution of primaries.
TEST(instance_selector, addresses_are_usable_and_spread) {
    std::map<std::uint64_t, std::size_t> primary_counts{};
    auto leaving = describe(5U);
    leaving.state = member_state::leaving;
    this->table.record_direct(leaving, this->time.now() + 1ms, evidence::reply);
    auto not_serving = describe(6U);
    not_serving.serving = false;
    this->table.record_direct(not_serving, this->time.now() + 1ms, evidence::reply);
    for (int service = 0; service < 1400; ++service) {
        const auto name = "service-" + std::to_string(service);
        const auto addresses = this->selector.instances_for(name, 3U);
        CHECK_EQUAL(3U, addresses.size());
        std::set<std::string> zones{};
        for (const auto& address : addresses) {
            zones.insert(address.zone);
            CHECK_TRUE(address.instance_name != "entry-5" && address.instance_name != "entry-6");
        }
        CHECK_EQUAL(3U, zones.size());
        CHECK_TRUE(this->selector.primary_of(name) == addresses.front().incarnation);
        ++primary_counts[addresses.front().incarnation.value()];
    }
    CHECK_EQUAL(12U, primary_counts.size()); // all but the leaving and the not serving instance
    for (const auto& [primary, count] : primary_counts) {
        CHECK_TRUE(count > 80U && count < 180U);
    }
    CHECK_EQUAL(12U, this->selector.instances_for("stock", 100U).size());
}

// Guards against services that change their primary when another instance dies or restarts.
TEST(instance_selector, only_services_of_a_dead_primary_move) {
    std::map<std::string, incarnation_id> before{};
    for (int service = 0; service < 200; ++service) {
        const auto name = "service-" + std::to_string(service);
        before[name] = *this->selector.primary_of(name);
    }
    this->time.advance(2900ms);
    this->record_all();
    auto restarted = describe(4U);
    restarted.incarnation = incarnation_id{77U};
    this->table.record_direct(restarted, this->time.now(), evidence::reply);
    for (const auto& [name, primary] : before) {
        const auto expected = primary == describe(4U).incarnation ? restarted.incarnation : primary;
        CHECK_TRUE(this->selector.primary_of(name) == expected);
    }
    this->time.advance(3s);
    CHECK_TRUE(this->selector.primary_of("service-1") == describe(0U).incarnation);
    this->table.set_serving(false);
    CHECK_FALSE(this->selector.primary_of("service-1").has_value());
}

// Guards against witnesses in the zone of the home instance, which would fail together with it.
TEST(instance_selector, witnesses_are_two_others_of_other_zones) {
    for (std::uint64_t index = 0U; index < 14U; ++index) {
        const auto home = describe(index);
        const auto witnesses = this->selector.witnesses_for(home.incarnation);
        CHECK_EQUAL(2U, witnesses.size());
        CHECK_TRUE(witnesses[0] != witnesses[1]);
        for (const auto witness : witnesses) {
            CHECK_TRUE(witness != home.incarnation);
            CHECK_TRUE(this->table.find(witness)->zone != home.zone);
        }
    }
    CHECK_TRUE(this->selector.endpoint_of(incarnation_id{1003U}) == std::string{"10.0.0.3:7100"});
    CHECK_FALSE(this->selector.endpoint_of(incarnation_id{3U}).has_value());
}

// Guards against zones with fewer or more than two store watchers.
TEST(instance_selector, two_watchers_in_each_zone) {
    std::map<std::string, std::size_t> watchers{};
    for (std::uint64_t self = 0U; self < 14U; ++self) {
        mangopulley::member_table own_table{this->time, describe(self)};
        for (std::uint64_t index = 0U; index < 14U; ++index) {
            own_table.record_direct(describe(index), this->time.now(), evidence::reply);
        }
        watchers[describe(self).zone] += mangopulley::instance_selector{own_table}.is_watcher() ? 1U : 0U;
    }
    CHECK_EQUAL(3U, watchers.size());
    for (const auto& [zone, count] : watchers) {
        CHECK_EQUAL(2U, count);
    }
}
