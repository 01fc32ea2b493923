#include <fake/fake_fleet.hpp>
#include <mangopulley/membership/heartbeat_service.hpp>

#include <CppUTest/TestHarness.h>

using fake::fake_fleet;
using namespace std::chrono_literals;

TEST_GROUP(heartbeat_service){};

// Guards against heartbeats whose size grows with the fleet.
TEST(heartbeat_service, size_does_not_grow_with_the_fleet) {
    for (const std::size_t size : {4U, 14U, 28U, 100U}) {
        fake_fleet fleet{size, 7U};
        fleet.run(10s);
        const auto before = fleet.nodes[0]->bytes_sent();
        std::size_t largest{};
        fleet.network.handle(fake_fleet::endpoint(1U), mangopulley::message_type::heartbeat,
                             [&](std::string_view body) -> std::optional<std::string> {
                                 largest = std::max(largest, body.size());
                                 return fleet.nodes[1]->heartbeats.on_heartbeat(body);
                             });
        fleet.run(30s);
        const auto per_second = (fleet.nodes[0]->bytes_sent() - before) / 30U;
        CHECK_TRUE(largest <= 240U);
        CHECK_TRUE(per_second < 3000U);
    }
}

// Guards against live members classified as dead for lack of messages, which moves services between instances.
TEST(heartbeat_service, quiet_fleet_stays_live_and_confirmed) {
    for (const std::size_t size : {4U, 14U, 28U}) {
        fake_fleet fleet{size, 11U};
        fleet.run(10s);
        fleet.run(30s, [&] {
            for (const auto& node : fleet.nodes) {
                CHECK_EQUAL(size, node->members.live().size());
                CHECK_TRUE(node->freshness.state() == mangopulley::freshness_state::confirmed);
            }
        });
    }
}

// Guards against a choice of peers that leaves some live member without a message for 3 s, which one seed may not show.
TEST(heartbeat_service, quiet_fleet_stays_live_for_any_seed) {
    for (std::uint64_t seed = 0U; seed < 40U; ++seed) {
        fake_fleet fleet{28U, seed};
        fleet.run(10s);
        fleet.run(20s, [&] {
            for (const auto& node : fleet.nodes) {
                CHECK_EQUAL(28U, node->members.live().size());
            }
        });
    }
}

// Guards against an instance that raises its share of a limit before it knows the demand at its peers: shares wait for
// 3 s, so every peer's demands must be younger than that in a fleet of 14.
TEST(heartbeat_service, demands_of_all_peers_are_younger_than_3_s) {
    for (std::uint64_t seed = 0U; seed < 10U; ++seed) {
        fake_fleet fleet{14U, seed};
        fleet.run(10s);
        fleet.run(20s, [&] {
            for (const auto& node : fleet.nodes) {
                const auto demands = node->heartbeats.demands();
                CHECK_EQUAL(13U, demands.size());
                for (const auto& known : demands) {
                    CHECK_TRUE(known.age < 3s);
                    CHECK_EQUAL(4U, known.demands.size());
                    DOUBLES_EQUAL(812.5, known.demands.front().requests_per_second, 0.01);
                }
            }
        });
    }
}

// Guards against malformed or hostile messages that are accepted or replied to.
TEST(heartbeat_service, rejects_malformed_messages) {
    fake_fleet fleet{2U, 3U};
    fleet.run(2s);
    auto& service = fleet.nodes[0]->heartbeats;
    mangopulley::heartbeat message{};
    message.sender = fleet.nodes[1]->members.self();
    message.digests.resize(mangopulley::max_digests_per_heartbeat);
    const auto body = mangopulley::encode(message);
    CHECK_TRUE(service.on_heartbeat(body).has_value());
    for (std::size_t length = 0U; length < body.size(); ++length) {
        CHECK_FALSE(service.on_heartbeat(std::string_view{body}.substr(0U, length)).has_value());
    }
    CHECK_FALSE(service.on_heartbeat(body + '\0').has_value());
    for (const std::string_view bytes : {"", "x", "\x91", "\xdd\xff\xff\xff\xff"}) {
        CHECK_FALSE(service.on_member_pull(bytes).has_value());
        CHECK_FALSE(service.on_catalogue_pull(bytes).has_value());
        CHECK_FALSE(service.on_drain_notice(bytes).has_value());
    }
}
