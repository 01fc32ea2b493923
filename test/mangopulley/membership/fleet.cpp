#include <cstdio>
#include <functional>
#include <map>

#include <fake/fake_fleet.hpp>

#include <CppUTest/TestHarness.h>

using fake::fake_fleet;
using mangopulley::freshness_state;
using mangopulley::milliseconds;
using mangopulley::time_point;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t fleet_size = 14U;
constexpr auto max_edit_delay = 5s;

/*! @brief Invariants checked after each step under any faults. */
class fleet_checks {
public:
    explicit fleet_checks(fake_fleet& fleet_to_check) : fleet{fleet_to_check}, last_seen(fleet_to_check.nodes.size()) {}

    void edit() {
        if (this->fleet.edit(this->next)) {
            this->accepted[this->next++] = this->fleet.time.now();
        }
    }

    /*! @brief Checks that no version decreases, and that no instance serves a version replaced at least 5 s ago. */
    void operator()() {
        const auto now = this->fleet.time.now();
        std::uint64_t required{};
        for (const auto& [version, since] : this->accepted) {
            required = now - since >= max_edit_delay ? version : required;
        }
        for (std::size_t index = 0U; index < this->fleet.nodes.size(); ++index) {
            const auto& node = *this->fleet.nodes[index];
            auto& [incarnation, version] = this->last_seen[index];
            const auto present = node.members.self().incarnation;
            if (incarnation != present) {
                incarnation = present;
                version = 0U;
            }
            CHECK_TRUE(node.version() >= version);
            version = node.version();
            CHECK_TRUE(!node.running || version >= required || !node.freshness.serving());
        }
    }

    [[nodiscard]] std::uint64_t latest() const { return this->next - 1U; }

private:
    fake_fleet& fleet;
    std::uint64_t next{1U};
    std::map<std::uint64_t, time_point> accepted{};
    std::vector<std::pair<mangopulley::incarnation_id, std::uint64_t>> last_seen;
};

[[nodiscard]] std::size_t count_serving(const fake_fleet& fleet) {
    return static_cast<std::size_t>(std::count_if(fleet.nodes.begin(), fleet.nodes.end(), [](const auto& node) {
        return node->running && node->freshness.serving();
    }));
}

void set_links(fake_fleet& fleet, const std::size_t index, const bool up) {
    for (std::size_t other = 0U; other < fleet.nodes.size(); ++other) {
        if (other != index) {
            fleet.link(index, other, up);
        }
    }
}

/*! @brief Disconnects the last `count` instances from the others and from the store, or reconnects them. */
void set_split(fake_fleet& fleet, const std::size_t count, const bool up) {
    const auto first_cut = fleet.nodes.size() - count;
    for (std::size_t index = first_cut; index < fleet.nodes.size(); ++index) {
        fleet.nodes[index]->store.cut = !up;
        for (std::size_t other = 0U; other < (up ? index : first_cut); ++other) {
            fleet.link(index, other, up);
        }
    }
}

} // namespace

TEST_GROUP(fleet){};

// Guards against an edit that does not reach instances whose links to some peers or to the store are cut.
TEST(fleet, edits_arrive_within_5_s_with_cut_links_and_kills) {
    for (std::uint64_t seed = 0U; seed < 60U; ++seed) {
        fake_fleet fleet{fleet_size, seed};
        fleet_checks checks{fleet};
        fleet.run(5s, std::ref(checks));
        for (std::size_t round = 0U; round < 4U; ++round) {
            for (std::size_t count = 0U; count < 18U; ++count) { // a fifth of the 91 links
                const auto left = fleet.random() % fleet_size;
                const auto right = fleet.random() % fleet_size;
                if (left != right) {
                    fleet.link(left, right, fleet.random() % 5U == 0U);
                }
            }
            fleet.nodes[fleet.random() % fleet_size]->store.cut = fleet.random() % 3U != 0U;
            fleet.stop(fleet.random() % fleet_size);
            checks.edit();
            fleet.run(max_edit_delay, std::ref(checks));
            for (const auto& node : fleet.nodes) {
                CHECK_TRUE(!node->running || node->version() == checks.latest());
            }
            for (std::size_t index = 0U; index < fleet_size; ++index) {
                if (!fleet.nodes[index]->running && fleet.random() % 2U == 0U) {
                    fleet.restart(index);
                }
            }
        }
    }
}

// Guards against serving an outdated catalogue under any combination of faults, and against a fleet that does not
// recover. The store is never cut from more than a few instances while edits are accepted (open issue in the design
// page).
TEST(fleet, no_instance_serves_a_catalogue_replaced_5_s_ago) {
    for (std::uint64_t seed = 100U; seed < 220U; ++seed) {
        fake_fleet fleet{fleet_size, seed};
        fleet_checks checks{fleet};
        checks.edit();
        fleet.run(5s, std::ref(checks));
        for (std::size_t event = 0U; event < 25U; ++event) {
            const auto index = fleet.random() % fleet_size;
            switch (fleet.random() % 11U) {
            case 0U:
                set_links(fleet, index, false);
                break;
            case 1U:
                set_links(fleet, index, true);
                break;
            case 2U:
                fleet.link(index, (index + 1U + fleet.random() % (fleet_size - 1U)) % fleet_size, false);
                break;
            case 3U:
                fleet.stop(index);
                break;
            case 4U:
                fleet.wake(index);
                break;
            case 5U:
                fleet.restart(index);
                break;
            case 6U:
                fleet.nodes[index % 3U]->store.cut = fleet.random() % 2U == 0U;
                break;
            case 7U:
                fleet.store.down = fleet.random() % 2U == 0U;
                break;
            case 8U:
                set_split(fleet, 2U + fleet.random() % 5U, false);
                break;
            case 9U:
                set_split(fleet, fleet_size, true);
                break;
            default:
                checks.edit();
                break;
            }
            fleet.run(milliseconds{fleet.random() % 3000U}, std::ref(checks));
        }
        fleet.store.down = false;
        for (std::size_t index = 0U; index < fleet_size; ++index) {
            set_links(fleet, index, true);
            fleet.wake(index);
            fleet.nodes[index]->store.cut = false;
        }
        fleet.run(5s, std::ref(checks));
        checks.edit();
        fleet.run(max_edit_delay, std::ref(checks));
        for (const auto& node : fleet.nodes) {
            CHECK_EQUAL(checks.latest(), node->version());
            CHECK_TRUE(node->freshness.state() == freshness_state::confirmed);
        }
    }
}

// Guards against an instance that continues to serve when it can reach neither peers nor the store.
TEST(fleet, isolated_instance_stops_serving_within_4500_ms) {
    for (std::uint64_t seed = 300U; seed < 340U; ++seed) {
        fake_fleet fleet{fleet_size, seed};
        fleet.edit(1U);
        fleet.run(10s);
        const auto index = fleet.random() % fleet_size;
        set_links(fleet, index, false);
        fleet.nodes[index]->store.cut = true;
        fleet.run(4500ms);
        CHECK_FALSE(fleet.nodes[index]->freshness.serving());
        CHECK_EQUAL(fleet_size - 1U, count_serving(fleet));
        set_links(fleet, index, true);
        fleet.run(2s);
        CHECK_EQUAL(fleet_size, count_serving(fleet));
    }
}

// Guards against instances that stop serving in a store outage, including one restarted during it, and against a
// disconnected minority that serves.
TEST(fleet, store_outage_stops_only_a_minority) {
    for (std::uint64_t seed = 400U; seed < 420U; ++seed) {
        fake_fleet fleet{fleet_size, seed};
        fleet.edit(1U);
        fleet.run(10s);
        fleet.store.down = true;
        fleet.run(30s, [&] { CHECK_EQUAL(fleet_size, count_serving(fleet)); });
        const auto index = fleet.random() % fleet_size;
        fleet.restart(index);
        fleet.run(10s);
        CHECK_TRUE(fleet.nodes[index]->freshness.state() == freshness_state::store_outage);
        CHECK_EQUAL(fleet_size, count_serving(fleet));
        for (std::size_t left = 0U; left < 6U; ++left) {
            for (std::size_t right = 6U; right < fleet_size; ++right) {
                fleet.link(left, right, false);
            }
        }
        fleet.run(10s);
        CHECK_EQUAL(fleet_size - 6U, count_serving(fleet));
        fleet.store.down = false;
        fleet.run(5s);
        CHECK_EQUAL(fleet_size, count_serving(fleet));
    }
}

// Guards against a dead primary that keeps its services, and against instances that disagree on the primary without
// faults.
TEST(fleet, services_of_a_killed_instance_move_within_3_s) {
    for (std::uint64_t seed = 500U; seed < 520U; ++seed) {
        fake_fleet fleet{fleet_size, seed};
        fleet.run(10s);
        const auto primary = fleet.nodes[0]->selector.primary_of("proofs");
        std::size_t killed{};
        for (std::size_t index = 0U; index < fleet_size; ++index) {
            CHECK_TRUE(fleet.nodes[index]->selector.primary_of("proofs") == primary);
            killed = fleet.nodes[index]->members.self().incarnation == primary ? index : killed;
        }
        fleet.stop(killed);
        fleet.run(3s);
        for (const auto& node : fleet.nodes) {
            CHECK_TRUE(!node->running || node->selector.primary_of("proofs") != primary);
        }
    }
}

// Guards against a drain notice that does not reach an instance within 3 s, after which the target must get no new
// work.
TEST(fleet, drain_notices_reach_all_instances) {
    for (std::uint64_t seed = 600U; seed < 640U; ++seed) {
        fake_fleet fleet{fleet_size, seed};
        fleet.run(5s);
        fleet.nodes[seed % fleet_size]->heartbeats.announce_drain("target-7");
        fleet.run(2s);
        for (const auto& node : fleet.nodes) {
            CHECK_TRUE(node->draining.draining_for("target-7").has_value());
        }
        if (seed == 600U) {
            fleet.run(60s);
            CHECK_FALSE(fleet.nodes[0]->draining.draining_for("target-7").has_value());
        }
    }
}

// Guards against control traffic and store calls per instance that grow with the fleet; the limit is 3 KB/s per
// instance.
TEST(fleet, cost_per_instance_is_bounded) {
    double previous_calls{};
    for (const std::size_t size : {4U, 14U, 28U, 56U}) {
        fake_fleet fleet{size, 17U};
        fleet.edit(1U);
        fleet.run(10s);
        std::uint64_t bytes{};
        std::uint64_t calls{};
        for (const auto& node : fleet.nodes) {
            bytes -= node->bytes_sent();
            calls -= node->store.calls;
        }
        constexpr auto length = 30s;
        fleet.run(length);
        for (const auto& node : fleet.nodes) {
            bytes += node->bytes_sent();
            calls += node->store.calls;
        }
        const auto share = static_cast<double>(size) * static_cast<double>(length.count());
        const auto bytes_per_second = static_cast<double>(bytes) / share;
        const auto calls_per_second = static_cast<double>(calls) / share;
        std::printf("\n%zu instances: %.0f B/s and %.2f store calls/s each", size, bytes_per_second, calls_per_second);
        CHECK_TRUE(bytes_per_second < 3000.0);
        CHECK_TRUE(size == 4U || calls_per_second < previous_calls);
        previous_calls = calls_per_second;
    }
}
