#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <fake/fake_clock.hpp>
#include <mangopulley/gateway/fleet.hpp>

#include <CppUTest/TestHarness.h>

using mangopulley::choose_instances;
using mangopulley::duration;
using mangopulley::event_loop;
using mangopulley::fleet;
using mangopulley::fleet_rule;
using mangopulley::known_instance;
using mangopulley::peer_record;
using mangopulley::select_advertised;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/*! @brief Simulated network of fleets in one process; a datagram arrives at the next step or is lost. */
class fleet_network {
public:
    struct node {
        peer_record self{};
        std::unique_ptr<fleet> members{};
        bool isolated{};
        std::uint64_t bytes{};
    };

    explicit fleet_network(const double loss = 0.0) : loss_rate{loss} {}

    node& start(const std::size_t number, const std::uint32_t millicores = 200U) {
        const auto ip = "10.0.0." + std::to_string(number);
        auto& item = this->nodes[ip];
        item = node{};
        item.self.incarnation = ++this->incarnations;
        item.self.identity = {"i" + std::to_string(number),
                              ip,
                              std::string{"zone-"} + "abc"[number % 3U],
                              "region",
                              ip + ":80",
                              millicores};
        item.self.ready = true;
        fleet::callbacks transport{};
        transport.send = [this, ip](const std::string& to, const std::string_view bytes) {
            this->nodes[ip].bytes += bytes.size();
            if (!this->nodes[ip].isolated && this->draw() >= this->loss_rate) {
                this->queue.push_back({ip, to, std::string{bytes}});
            }
        };
        transport.fetch_members = [this, ip](const std::string& from, std::function<void(std::string &&)> done) {
            this->loop.after(milliseconds{5},
                             [this, ip, from, done = std::move(done)] { this->fetch(ip, from, done); });
        };
        item.members = std::make_unique<fleet>(
            this->loop, fleet_rule{}, transport, [this, ip] { return this->nodes[ip].self; },
            [](const std::string&, const peer_record&, std::string_view) {});
        item.members->set_seeds({"10.0.0.1", "10.0.0.2", "10.0.0.3"});
        item.members->start();
        return item;
    }

    void kill(const std::size_t number) { this->nodes.erase("10.0.0." + std::to_string(number)); }
    node& get(const std::size_t number) { return this->nodes["10.0.0." + std::to_string(number)]; }

    void pass(const duration length) {
        for (duration done{}; done < length; done += milliseconds{10}) {
            this->time.advance(milliseconds{10});
            this->loop.turn(duration::zero());
            for (const auto& item : std::exchange(this->queue, {})) {
                const auto to = this->nodes.find(item.to);
                if (to != this->nodes.end() && to->second.members && !to->second.isolated) {
                    to->second.members->receive(item.from, item.bytes);
                }
            }
        }
    }

    [[nodiscard]] static std::vector<std::string> names(const std::vector<peer_record>& records) {
        std::vector<std::string> all{};
        all.reserve(records.size());
        for (const auto& record : records) {
            all.push_back(record.identity.name);
        }
        return all;
    }

    [[nodiscard]] bool all_agree() {
        const auto expected = names(this->nodes.begin()->second.members->leaders());
        return std::all_of(this->nodes.begin(), this->nodes.end(), [&expected](auto& entry) {
            return entry.second.isolated || names(entry.second.members->leaders()) == expected;
        });
    }

    fake::fake_clock time{};
    event_loop loop{this->time};
    std::map<std::string, node> nodes{};

private:
    struct datagram {
        std::string from;
        std::string to;
        std::string bytes;
    };

    double draw() { return std::uniform_real_distribution<double>{}(this->random); }

    void fetch(const std::string& ip, const std::string& from, const std::function<void(std::string&&)>& done) {
        const auto source = this->nodes.find(from);
        if (!this->nodes.contains(ip)) {
            return;
        }
        if (source == this->nodes.end() || source->second.isolated || this->nodes[ip].isolated) {
            done({});
            return;
        }
        auto known = source->second.members->members();
        known.push_back({source->second.self, duration::zero()});
        done(encode_members(known));
    }

    double loss_rate;
    std::mt19937 random{11U};
    std::uint64_t incarnations{};
    std::vector<datagram> queue{};
};

} // namespace

TEST_GROUP(gateway_fleet){};

// Guards against instances that do not find each other when all start at once and datagrams are lost.
TEST(gateway_fleet, agrees_on_three_leaders_per_zone) {
    fleet_network network{0.1};
    for (std::size_t number = 1U; number <= 30U; ++number) {
        network.start(number);
    }
    network.pass(seconds{6});
    CHECK_TRUE(network.all_agree());
    LONGS_EQUAL(9, network.get(1U).members->leaders().size());
    LONGS_EQUAL(30, network.get(17U).members->size());
}

// Guards against low-capacity instances becoming leaders while higher-capacity ones are available.
TEST(gateway_fleet, elects_the_instances_with_the_most_capacity) {
    fleet_network network{};
    for (std::size_t number = 1U; number <= 12U; ++number) {
        network.start(number, number > 9U ? 500U : 100U);
    }
    network.pass(seconds{3});
    for (const auto& record : network.get(1U).members->leaders()) {
        const bool first_of_zone = record.identity.name == "i10" || record.identity.name == "i11" ||
                                   record.identity.name == "i12" || record.identity.millicores == 100U;
        CHECK_TRUE(first_of_zone);
    }
    LONGS_EQUAL(500, network.get(1U).members->leaders().front().identity.millicores);
}

// Guards against callers being sent to an instance that is dead, and against an instance that stays excluded after it
// returns.
TEST(gateway_fleet, replaces_a_silent_leader_and_restores_it) {
    fleet_network network{};
    for (std::size_t number = 1U; number <= 15U; ++number) {
        network.start(number);
    }
    network.pass(seconds{4});
    const auto before = fleet_network::names(network.get(1U).members->leaders());
    std::size_t victim = 0U;
    for (std::size_t number = 2U; number <= 15U && victim == 0U; ++number) {
        if (std::find(before.begin(), before.end(), "i" + std::to_string(number)) != before.end()) {
            victim = number;
        }
    }
    network.kill(victim);
    network.pass(seconds{2});
    const auto without = fleet_network::names(network.get(1U).members->leaders());
    CHECK_TRUE(std::find(without.begin(), without.end(), "i" + std::to_string(victim)) == without.end());
    LONGS_EQUAL(9, without.size());
    CHECK_TRUE(network.all_agree());
    network.start(victim);
    network.pass(seconds{4});
    CHECK_TRUE(network.all_agree());
    CHECK_TRUE(fleet_network::names(network.get(1U).members->leaders()) == before);
}

// Guards against a stopping instance that stays advertised until its heartbeats time out.
TEST(gateway_fleet, drops_an_instance_that_reports_not_ready) {
    fleet_network network{};
    for (std::size_t number = 1U; number <= 9U; ++number) {
        network.start(number);
    }
    network.pass(seconds{3});
    network.get(4U).self.ready = false;
    network.get(4U).members->introduce();
    network.pass(milliseconds{50});
    const auto names = fleet_network::names(network.get(1U).members->leaders());
    CHECK_TRUE(std::find(names.begin(), names.end(), "i4") == names.end());
}

// Guards against an isolated instance that advertises no instance, or only others, or that does not rejoin afterwards.
TEST(gateway_fleet, leads_alone_while_isolated) {
    fleet_network network{};
    for (std::size_t number = 1U; number <= 9U; ++number) {
        network.start(number);
    }
    network.pass(seconds{3});
    network.get(5U).isolated = true;
    network.pass(seconds{6});
    const auto alone = network.get(5U).members->leaders();
    CHECK_FALSE(alone.empty());
    const auto names = fleet_network::names(alone);
    CHECK_TRUE(std::find(names.begin(), names.end(), "i5") != names.end());
    network.get(5U).isolated = false;
    network.pass(seconds{8});
    CHECK_TRUE(network.all_agree());
    LONGS_EQUAL(9, network.get(5U).members->leaders().size());
}

// Guards against traffic that grows with the square of the number of instances: ten times as many instances may send
// at most 15 times as many bytes.
TEST(gateway_fleet, sends_bytes_in_proportion_to_the_instances) {
    std::uint64_t sent[2]{};
    for (const std::size_t size : {20U, 200U}) {
        fleet_network network{};
        for (std::size_t number = 1U; number <= size; ++number) {
            network.start(number);
        }
        network.pass(seconds{6});
        for (auto& [ip, item] : network.nodes) {
            item.bytes = 0U;
        }
        network.pass(seconds{20});
        for (const auto& [ip, item] : network.nodes) {
            sent[size == 20U ? 0 : 1] += item.bytes;
        }
    }
    CHECK_TRUE(sent[1] < 15U * sent[0]);
}

TEST_GROUP(choose_instances){static peer_record make(const std::string& name, const std::string& zone,
                                                     const std::uint32_t millicores = 200U,
                                                     const std::uint32_t per_second = 0U){peer_record record{};
record.identity = {name, name, zone, zone == "zc" ? "r2" : "r1", name + ":80", millicores};
record.requests_per_second = per_second;
return record;
}

static std::vector<std::string> names(const std::vector<peer_record>& records) {
    return fleet_network::names(records);
}

static std::size_t count_advertised(const std::vector<peer_record>& zone) {
    std::size_t count = 0U;
    for (const auto& group : select_advertised(zone)) {
        count += group.instances.size();
    }
    return count;
}
}
;

// Guards against callers sent to another zone while their own has instances, and against callers without any address.
TEST(choose_instances, advertises_the_nearest_leaders) {
    const std::vector<peer_record> leaders{make("a1", "za"), make("a2", "za"), make("a3", "za"), make("b1", "zb"),
                                           make("c1", "zc")};
    CHECK_TRUE((names(choose_instances(leaders, "r1", "za", 0.0)) == std::vector<std::string>{"a1", "a2"}));
    CHECK_TRUE((names(choose_instances(leaders, "r1", "zb", 0.0)) == std::vector<std::string>{"b1"}));
    CHECK_TRUE((names(choose_instances(leaders, "r1", "zx", 0.0)) == std::vector<std::string>{"a1", "a2"}));
    CHECK_TRUE((names(choose_instances(leaders, "r9", "zy", 0.0)) == std::vector<std::string>{"a1", "a2"}));
    CHECK_TRUE(choose_instances({}, "r1", "za", 0.0).empty());
}

// Guards against a low-capacity instance that receives as many requests as a high-capacity one after another
// high-capacity one failed: it queued requests for 0.7 s and forwarded them after their callers had disconnected.
TEST(choose_instances, advertises_as_many_as_the_demand_requires) {
    LONGS_EQUAL(2, count_advertised(
                       std::vector{make("s1", "z", 500U, 150U), make("s2", "z", 500U, 150U), make("w1", "z", 100U)}));
    LONGS_EQUAL(
        1, count_advertised(std::vector{make("s2", "z", 500U, 150U), make("w1", "z", 100U), make("w2", "z", 100U)}));
    std::vector<peer_record> zone{make("s2", "z", 500U, 350U)};
    for (std::size_t number = 0U; number < 12U; ++number) {
        zone.push_back(make("w" + std::to_string(number), "z", 100U));
    }
    LONGS_EQUAL_TEXT(3, count_advertised(zone), "250 and twice 50 requests per second");
    zone.erase(zone.begin());
    zone.front().requests_per_second = 300U;
    LONGS_EQUAL(6, count_advertised(zone));
    LONGS_EQUAL(2, count_advertised(std::vector{make("a", "z"), make("b", "z"), make("c", "z")}));
    LONGS_EQUAL(1, count_advertised(std::vector{make("a", "z")}));
}

// Guards against advertising too many instances in a burst: 57 of 110 were advertised because each caller received
// low- and high-capacity ones alike. None of them then knew the load of the targets, and exchanging it used up their
// CPU time.
TEST(choose_instances, distributes_callers_by_capacity) {
    std::vector<peer_record> zone{make("s1", "za", 500U, 280U), make("s2", "za", 500U, 270U)};
    for (std::size_t number = 0U; number < 25U; ++number) {
        zone.push_back(make("w" + std::to_string(number), "za", 100U));
    }
    std::size_t high_capacity_count = 0U;
    constexpr std::size_t calls = 120U;
    for (std::size_t call = 0U; call < calls; ++call) {
        const auto chosen = choose_instances(zone, "r1", "za", (static_cast<double>(call) + 0.5) / calls);
        LONGS_EQUAL(2, chosen.size());
        LONGS_EQUAL(chosen[0U].identity.millicores, chosen[1U].identity.millicores);
        high_capacity_count += chosen.front().identity.millicores == 500U ? 1U : 0U;
    }
    LONGS_EQUAL_TEXT(calls * 500U / 600U, high_capacity_count,
                     "high-capacity instances take 500 of 600 requests per second");
}

// Guards against high-capacity instances that lose all callers at once, to ones with a fifth of their capacity, when a
// burst slows them down.
TEST(choose_instances, keeps_a_starved_high_capacity_instance) {
    auto starved = make("s1", "z", 500U, 300U);
    starved.cpu_starved = true;
    const std::vector zone{starved, make("w1", "z", 100U), make("w2", "z", 100U), make("w3", "z", 100U)};
    const auto groups = select_advertised(zone);
    STRCMP_EQUAL("s1", groups.front().instances.front().identity.name.c_str());
    LONGS_EQUAL(4, count_advertised(zone));
}
