#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include <fake/fake_clock.hpp>
#include <fake/fake_store.hpp>
#include <mangopulley/lease/lease_manager.hpp>
#include <mangopulley/measure/probe_budget.hpp>
#include <mangopulley/measure/prober.hpp>

#include <CppUTest/TestHarness.h>

using mangopulley::duration;
using mangopulley::incarnation_id;
using mangopulley::load_report;
using mangopulley::milliseconds;
using mangopulley::time_point;
using namespace std::chrono_literals;

namespace {

/*! @brief Target client that hands each probe to a function. */
class probing_client final : public mangopulley::target_client {
public:
    using handler = std::function<bool(const std::string& endpoint, time_point deadline)>;

    explicit probing_client(handler probed) : action{std::move(probed)} {}

    [[nodiscard]] mangopulley::result<std::unique_ptr<mangopulley::exchange>>
    begin(std::string_view /*endpoint*/, const mangopulley::target_request& /*request*/) override {
        return boost::leaf::new_error(mangopulley::target_error{});
    }
    [[nodiscard]] std::optional<std::size_t> wait_any(std::span<mangopulley::exchange* const> /*open*/,
                                                      time_point /*until*/) override {
        return std::nullopt;
    }
    [[nodiscard]] mangopulley::result<load_report> probe(std::string_view endpoint, time_point deadline) override {
        if (!this->action(std::string{endpoint}, deadline)) {
            return boost::leaf::new_error(mangopulley::target_error{});
        }
        return load_report{1U, 0U};
    }

private:
    handler action;
};

/*! @brief One instance with its own prober. */
struct probing_instance {
    probing_instance(const fake::fake_clock& time, fake::fake_store& store, const std::uint64_t id,
                     const mangopulley::document_holder& holder, std::function<std::uint64_t()> draw,
                     probing_client::handler probed)
        : name{id}, leases{time,
                           store,
                           incarnation_id{id},
                           {.duration = 1200ms, .takeover_margin = 100ms},
                           std::move(draw)},
          client{std::move(probed)}, probes{{time, this->client, this->leases, holder},
                                            {[this](std::string_view /*service*/) { return this->wanted; },
                                             [](std::string_view /*service*/) {
                                                 return std::vector<std::string>{"a", "b", "c"};
                                             },
                                             [this](std::string_view /*service*/, std::string_view /*endpoint*/,
                                                    const load_report& /*load*/) { ++this->reports; }}} {}

    std::uint64_t name;
    mangopulley::lease_manager leases;
    probing_client client;
    mangopulley::prober probes;
    bool wanted{true};
    bool frozen{};
    std::size_t reports{};
};

/*! @brief Instances that freeze, wake, join, restart and compete for one lease, on a fake clock. */
class probing_fleet {
public:
    static constexpr auto step_length = 20ms;

    probing_fleet(const std::uint64_t seed, const mangopulley::measuring_budget& budget, const unsigned trouble)
        : random{seed}, faults{trouble} {
        mangopulley::service_entry entry{};
        entry.name = "lots";
        entry.measuring = budget;
        this->holder.advance(std::make_shared<mangopulley::document>(mangopulley::document{1U, {entry}}), "1");
        for (std::size_t index = 0U; index < 4U; ++index) {
            this->instances.push_back(this->make());
        }
    }

    void run(const duration length) {
        const auto end = this->time.now() + length;
        while (this->time.now() < end) {
            this->time.advance(step_length);
            this->disturb();
            for (std::size_t index = 0U; index < this->instances.size(); ++index) {
                const auto instance = this->instances[index];
                if (!instance->frozen) {
                    this->store.fault = this->chance(40U)   ? fake::fake_store::write_fault::reply_lost_after_effect
                                        : this->chance(40U) ? fake::fake_store::write_fault::reply_lost_before_effect
                                                            : fake::fake_store::write_fault::none;
                    // Frozen while it steps: a freeze inside the step runs the others, but not this one.
                    instance->frozen = true;
                    instance->probes.step();
                    instance->frozen = false;
                }
            }
        }
    }

    /*! @brief Largest number of arrivals in a window of one second, at one target or at all of them. */
    [[nodiscard]] std::size_t most_in_window(const std::string& target) const {
        std::vector<time_point> times{};
        for (const auto& [endpoint, at] : this->arrivals) {
            if (target.empty() || endpoint == target) {
                times.push_back(at);
            }
        }
        std::sort(times.begin(), times.end());
        std::size_t most{};
        for (std::size_t last = 0U, first = 0U; last < times.size(); ++last) {
            while (times[last] - times[first] >= 1s) {
                ++first;
            }
            most = std::max(most, last - first + 1U);
        }
        return most;
    }

    [[nodiscard]] std::size_t arrived() const { return this->arrivals.size(); }

    std::size_t late{};

private:
    [[nodiscard]] bool chance(const unsigned one_in) {
        return this->faults != 0U && this->random() % (one_in * this->faults) == 0U;
    }

    [[nodiscard]] std::shared_ptr<probing_instance> make() {
        const auto id = ++this->last_id;
        return std::make_shared<probing_instance>(
            this->time, this->store, id, this->holder, [this] { return this->random(); },
            [this, id](const std::string& endpoint, const time_point deadline) {
                return this->probed(id, endpoint, deadline);
            });
    }

    /*! @brief A probe on its way from the check of the lease to the target. */
    bool probed(const std::uint64_t id, const std::string& endpoint, const time_point deadline) {
        if (this->depth < 3U && this->chance(15U)) {
            ++this->depth;
            this->run(milliseconds{this->random() % 4000U});
            --this->depth;
            if (this->dead.contains(id)) {
                return false;
            }
        }
        this->late += this->time.now() > deadline ? 1U : 0U;
        this->arrivals.emplace_back(endpoint, this->time.now());
        this->time.advance(milliseconds{this->random() % 8U});
        return !this->chance(10U);
    }

    void disturb() {
        if (this->chance(100U)) {
            auto& instance = this->instances[this->random() % this->instances.size()];
            instance->wanted = !instance->wanted;
        }
        if (this->chance(150U)) {
            const auto index = this->random() % this->instances.size();
            this->dead.insert(this->instances[index]->name);
            this->retired.push_back(this->instances[index]);
            this->instances[index] = this->make();
        }
        if (this->instances.size() < 7U && this->chance(300U)) {
            this->instances.push_back(this->make());
        }
        if (this->chance(100U)) {
            this->store.down = !this->store.down && this->chance(1U);
        }
    }

    std::mt19937_64 random;
    unsigned faults;
    fake::fake_clock time{};
    fake::fake_store store{};
    mangopulley::document_holder holder{};
    std::vector<std::shared_ptr<probing_instance>> instances{};
    std::vector<std::shared_ptr<probing_instance>> retired{};
    std::set<std::uint64_t> dead{};
    std::vector<std::pair<std::string, time_point>> arrivals{};
    std::uint64_t last_id{};
    std::size_t depth{};
};

} // namespace

TEST_GROUP(prober){};

// Guards against an idle target that is never measured, and against a budget that is left unused in a quiet fleet.
TEST(prober, quiet_fleet_uses_the_budget_less_one) {
    probing_fleet fleet{1U, {3U, 7U}, 0U};
    fleet.run(11s);
    CHECK_EQUAL(2U, fleet.most_in_window("a"));
    CHECK_EQUAL(6U, fleet.most_in_window(""));
    CHECK_TRUE(fleet.arrived() >= 54U);
}

// Guards against probes beyond the budget of a target or of the service in any window of one second, under freezes
// (also between the check of the lease and the sending), restarts, joins, changes of the lead and faults of the store.
TEST(prober, never_exceeds_the_budget) {
    constexpr std::array<mangopulley::measuring_budget, 4U> budgets{{{2U, 3U}, {3U, 5U}, {5U, 8U}, {1U, 10U}}};
    std::size_t late{};
    std::size_t arrived{};
    for (std::uint64_t seed = 0U; seed < 3000U; ++seed) {
        const auto& budget = budgets[seed % budgets.size()];
        probing_fleet fleet{seed, budget, 1U + static_cast<unsigned>(seed % 3U)};
        fleet.run(12s);
        for (const char* target : {"a", "b", "c"}) {
            CHECK_TRUE(fleet.most_in_window(target) <= budget.probes_per_target_per_second);
        }
        CHECK_TRUE(fleet.most_in_window("") <= budget.probes_per_second);
        late += fleet.late;
        arrived += fleet.arrived();
    }
    // The schedules must contain what they are meant to test.
    CHECK_TRUE(late > 100U);
    CHECK_TRUE(arrived > 10'000U);
}
