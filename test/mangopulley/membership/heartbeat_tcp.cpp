#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <fake/fake_fleet.hpp>
#include <mangopulley/catalogue/catalogue_follower.hpp>
#include <mangopulley/membership/catalogue_freshness.hpp>
#include <mangopulley/membership/drain_notices.hpp>
#include <mangopulley/membership/heartbeat_service.hpp>
#include <mangopulley/membership/instance_selector.hpp>
#include <mangopulley/membership/member_table.hpp>
#include <mangopulley/peer/peer_server.hpp>
#include <mangopulley/peer/tcp_peer_transport.hpp>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using mangopulley::message_type;

namespace {

/*! @brief Instance with real sockets and threads as in the entry process. */
struct tcp_node {
    tcp_node(const mangopulley::clock& time, fake::fake_store& shared_store, const mangopulley::member& description)
        : store{shared_store}, members{time, description}, draining{time},
          freshness{time,
                    {.own_version = [this] { return this->catalogue.current()->version; },
                     .contacts = [this](mangopulley::time_point since) { return this->members.contacts(since); }}},
          follower{
              {time, this->store, this->transport, this->catalogue, this->members, this->selector, this->freshness},
              [](std::string_view value) -> mangopulley::result<mangopulley::catalogue_document> {
                  return mangopulley::catalogue_document{.version = std::stoull(std::string{value})};
              }},
          heartbeats{{time, this->members, this->freshness, this->catalogue, this->follower, this->draining,
                      this->transport, this->runner},
                     [] { return std::vector<mangopulley::service_demand>{}; },
                     description.incarnation.value()},
          server{description.peer_endpoint} {
        this->follower.on_advance([this] { this->heartbeats.push(); });
        const auto serve = [this](const message_type type, auto handler) {
            this->server.handle(type,
                                [this, handler](std::string_view body) { return (this->heartbeats.*handler)(body); });
        };
        serve(message_type::heartbeat, &mangopulley::heartbeat_service::on_heartbeat);
        serve(message_type::member_pull, &mangopulley::heartbeat_service::on_member_pull);
        serve(message_type::catalogue_pull, &mangopulley::heartbeat_service::on_catalogue_pull);
        serve(message_type::instances_pull, &mangopulley::heartbeat_service::on_instances_pull);
        serve(message_type::drain_notice, &mangopulley::heartbeat_service::on_drain_notice);
        this->store.pause = 50ms;
        this->server.start();
        this->follower.start();
        this->heartbeats.start();
    }

    ~tcp_node() {
        this->heartbeats.stop();
        this->follower.stop();
        this->server.stop();
    }

    fake::store_link store;
    mangopulley::tcp_peer_transport transport{};
    mangopulley::member_table members;
    mangopulley::instance_selector selector{this->members};
    mangopulley::catalogue_holder catalogue{};
    mangopulley::drain_notices draining;
    mangopulley::catalogue_freshness freshness;
    mangopulley::catalogue_follower follower;
    mangopulley::pool_runner runner{6U, 64U};
    mangopulley::heartbeat_service heartbeats;
    mangopulley::peer_server server;
};

template <typename Condition>
[[nodiscard]] bool becomes_true_within(const std::chrono::milliseconds limit, Condition condition) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(20ms);
    }
    return true;
}

} // namespace

TEST_GROUP(heartbeat_tcp){};

// Guards against faults that only occur with threads and sockets: an instance that never discovers the others, and an
// edit or a drain notice that takes longer than the 5 s and 3 s of the design. One listed instance accepts connections
// but never replies, like a frozen one; it must not delay the others.
TEST(heartbeat_tcp, instances_discover_each_other_and_propagate_edits) {
    const mangopulley::system_clock_source time{};
    fake::fake_store store{};
    const auto write = [&store](const std::string_view value, const std::uint64_t expected) {
        boost::leaf::try_handle_all(
            [&]() -> mangopulley::result<void> {
                BOOST_LEAF_AUTO(written, store.put("catalogue/current", value, expected));
                static_cast<void>(written);
                return {};
            },
            [] { FAIL("the edit was not accepted"); });
    };
    write("1", 0U);
    const Poco::Net::ServerSocket frozen{Poco::Net::SocketAddress{"127.0.0.1", 0}};
    store.instances = {.revision = 1U,
                       .instances = {{"frozen", "entry", {}, frozen.address().toString(), "z", "r", false}}};
    std::vector<mangopulley::member> descriptions{};
    for (std::uint64_t index = 1U; index <= 4U; ++index) {
        const auto endpoint = Poco::Net::ServerSocket{Poco::Net::SocketAddress{"127.0.0.1", 0}}.address().toString();
        const auto name = "entry-" + std::to_string(index);
        descriptions.push_back({.incarnation = mangopulley::incarnation_id{index},
                                .instance_name = name,
                                .peer_endpoint = endpoint,
                                .caller_address = endpoint,
                                .zone = "z",
                                .region = "r"});
        store.instances.instances.push_back({name, "entry", {}, endpoint, "z", "r", false});
    }
    std::vector<std::unique_ptr<tcp_node>> nodes{};
    nodes.reserve(descriptions.size());
    for (const auto& description : descriptions) {
        nodes.push_back(std::make_unique<tcp_node>(time, store, description));
    }
    const auto all = [&](auto condition) { return std::all_of(nodes.begin(), nodes.end(), condition); };
    CHECK_TRUE(becomes_true_within(10s, [&] {
        return all([](const auto& node) {
            return node->members.live().size() == 4U &&
                   node->freshness.state() == mangopulley::freshness_state::confirmed;
        });
    }));
    CHECK_EQUAL(1U, nodes[0]->catalogue.current()->version);
    write("2", 1U);
    CHECK_TRUE(becomes_true_within(
        5s, [&] { return all([](const auto& node) { return node->catalogue.current()->version == 2U; }); }));
    nodes[3]->heartbeats.announce_drain("target-1");
    CHECK_TRUE(becomes_true_within(
        3s, [&] { return all([](const auto& node) { return node->draining.draining_for("target-1").has_value(); }); }));
}
