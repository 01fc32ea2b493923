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

/*! @brief Target client that passes each probe to a function. */
class probing_client final : public mangopulley::target_client {
public:
    using handler = std::function<bool(const std::string& endpoint, time_point deadline)>;

    explicit probing_client(handler on_probe) : handle_probe{std::move(on_probe)} {}

    [[nodiscard]] mangopulley::result<std::unique_ptr<mangopulley::exchange>>
    begin(std::string_view /*endpoint*/, const mangopulley::target_request& /*request*/) override {
        return boost::leaf::new_error(mangopulley::target_error{});
    }
    [[nodiscard]] std::optional<std::size_t> wait_any(std::span<mangopulley::exchange* const> /*open*/,
                                                      time_point /*until*/) override {
        return std::nullopt;
    }
    [[nodiscard]] mangopulley::result<load_report> probe(std::string_view endpoint, time_point deadline) override {
        if (!this->handle_probe(std::string{endpoint}, deadline)) {
            return boost::leaf::new_error(mangopulley::target_error{});
        }
        return load_report{1U, 0U};
    }

private:
    handler handle_probe;
};

/*! @brief One instance with its own prober. */
struct probing_instance {
    probing_instance(const fake::fake_clock& time, fake::fake_store& store, const std::uint64_t id,
                     const mangopulley::catalogue_holder& holder, std::function<std::uint64_t()> draw,
                     probing_client::handler on_probe)
        : number{id}, leases{time,
                             store,
                             incarnation_id{id},
                             {.duration = 1200ms, .takeover_margin = 100ms},
                             std::move(draw)},
          client{std::move(on_probe)}, prober{{time, this->client, this->leases, holder},
                                              {[this](std::string_view /*service*/) { return this->is_primary; },
                                               [](std::string_view /*service*/) {
                                                   return std::vector<std::string>{"a", "b", "c"};
                                               },
                                               [this](std::string_view /*service*/, std::string_view /*endpoint*/,
                                                      const load_report& /*load*/) { ++this->reports; }}} {}

    std::uint64_t number;
    mangopulley::lease_manager leases;
    probing_client client;
    mangopulley::prober prober;
    bool is_primary{true};
    bool frozen{};
    std::size_t reports{};
};

/*! @brief Instances on a fake clock that compete for one lease while they freeze, resume, join and restart. */
class probing_fleet {
public:
    static constexpr auto step_length = 20ms;

    /**
     * @brief Creates a fleet of 4 instances.
     * @param seed Seed of all random choices.
     * @param budget Probe budget of the service.
     * @param interval_factor Multiplies the mean intervals between injected faults; 0 for no faults.
     */
    probing_fleet(const std::uint64_t seed, const mangopulley::measuring_budget& budget, const unsigned interval_factor)
        : random{seed}, fault_interval_factor{interval_factor} {
        mangopulley::service_entry entry{};
        entry.name = "lots";
        entry.measuring = budget;
        this->holder.advance(
            std::make_shared<mangopulley::catalogue_document>(mangopulley::catalogue_document{1U, {entry}}), "1");
        for (std::size_t index = 0U; index < 4U; ++index) {
            this->instances.push_back(this->make_instance());
        }
    }

    void run(const duration length) {
        const auto end = this->time.now() + length;
        while (this->time.now() < end) {
            this->time.advance(step_length);
            this->inject_faults();
            for (std::size_t index = 0U; index < this->instances.size(); ++index) {
                const auto instance = this->instances[index];
                if (!instance->frozen) {
                    this->store.fault = this->chance(40U)   ? fake::fake_store::write_fault::reply_lost_after_effect
                                        : this->chance(40U) ? fake::fake_store::write_fault::reply_lost_before_effect
                                                            : fake::fake_store::write_fault::none;
                    // Marked as frozen during its step, so that a freeze inside the step runs only the other instances.
                    instance->frozen = true;
                    instance->prober.step();
                    instance->frozen = false;
                }
            }
        }
    }

    /*! @brief Maximum number of probe arrivals in any window of one second, at one target or, if empty, at all. */
    [[nodiscard]] std::size_t max_in_window(const std::string& target) const {
        std::vector<time_point> times{};
        for (const auto& [endpoint, at] : this->arrivals) {
            if (target.empty() || endpoint == target) {
                times.push_back(at);
            }
        }
        std::sort(times.begin(), times.end());
        std::size_t max{};
        for (std::size_t last = 0U, first = 0U; last < times.size(); ++last) {
            while (times[last] - times[first] >= 1s) {
                ++first;
            }
            max = std::max(max, last - first + 1U);
        }
        return max;
    }

    [[nodiscard]] std::size_t arrived() const { return this->arrivals.size(); }

    /*! @brief Probes that arrived after their deadline. */
    std::size_t late{};

private:
    /*! @brief Draws whether a fault occurs, with a probability of 1 in `one_in` times the interval factor. */
    [[nodiscard]] bool chance(const unsigned one_in) {
        return this->fault_interval_factor != 0U && this->random() % (one_in * this->fault_interval_factor) == 0U;
    }

    [[nodiscard]] std::shared_ptr<probing_instance> make_instance() {
        const auto id = ++this->last_id;
        return std::make_shared<probing_instance>(
            this->time, this->store, id, this->holder, [this] { return this->random(); },
            [this, id](const std::string& endpoint, const time_point deadline) {
                return this->deliver_probe(id, endpoint, deadline);
            });
    }

    /*! @brief Delivers a probe to its target, possibly after a freeze between the lease check and the arrival. */
    bool deliver_probe(const std::uint64_t id, const std::string& endpoint, const time_point deadline) {
        if (this->freeze_depth < 3U && this->chance(15U)) {
            ++this->freeze_depth;
            this->run(milliseconds{this->random() % 4000U});
            --this->freeze_depth;
            if (this->stopped_ids.contains(id)) {
                return false;
            }
        }
        this->late += this->time.now() > deadline ? 1U : 0U;
        this->arrivals.emplace_back(endpoint, this->time.now());
        this->time.advance(milliseconds{this->random() % 8U});
        return !this->chance(10U);
    }

    void inject_faults() {
        if (this->chance(100U)) {
            auto& instance = this->instances[this->random() % this->instances.size()];
            instance->is_primary = !instance->is_primary;
        }
        if (this->chance(150U)) {
            const auto index = this->random() % this->instances.size();
            this->stopped_ids.insert(this->instances[index]->number);
            this->stopped_instances.push_back(this->instances[index]);
            this->instances[index] = this->make_instance();
        }
        if (this->instances.size() < 7U && this->chance(300U)) {
            this->instances.push_back(this->make_instance());
        }
        if (this->chance(100U)) {
            this->store.down = !this->store.down && this->chance(1U);
        }
    }

    std::mt19937_64 random;
    unsigned fault_interval_factor;
    fake::fake_clock time{};
    fake::fake_store store{};
    mangopulley::catalogue_holder holder{};
    std::vector<std::shared_ptr<probing_instance>> instances{};
    std::vector<std::shared_ptr<probing_instance>> stopped_instances{};
    std::set<std::uint64_t> stopped_ids{};
    std::vector<std::pair<std::string, time_point>> arrivals{};
    std::uint64_t last_id{};
    std::size_t freeze_depth{};
};

} // namespace

TEST_GROUP(prober){};

// Guards against idle targets that are never probed and against leaving the budget unused in a fleet without faults.
TEST(prober, fleet_without_faults_uses_all_but_one_probe_of_the_budget) {
    probing_fleet fleet{1U, {3U, 7U}, 0U};
    fleet.run(11s);
    CHECK_EQUAL(2U, fleet.max_in_window("a"));
    CHECK_EQUAL(6U, fleet.max_in_window(""));
    CHECK_TRUE(fleet.arrived() >= 54U);
}

// Guards against exceeding the probe budget of a target or of the service in any window of one second during freezes
// (also between the lease check and the sending of a probe), restarts, joins, changes of the primary and store faults.
TEST(prober, never_exceeds_the_budget) {
    constexpr std::array<mangopulley::measuring_budget, 4U> budgets{{{2U, 3U}, {3U, 5U}, {5U, 8U}, {1U, 10U}}};
    std::size_t late{};
    std::size_t arrived{};
    for (std::uint64_t seed = 0U; seed < 3000U; ++seed) {
        const auto& budget = budgets[seed % budgets.size()];
        probing_fleet fleet{seed, budget, 1U + static_cast<unsigned>(seed % 3U)};
        fleet.run(12s);
        for (const char* target : {"a", "b", "c"}) {
            CHECK_TRUE(fleet.max_in_window(target) <= budget.probes_per_target_per_second);
        }
        CHECK_TRUE(fleet.max_in_window("") <= budget.probes_per_second);
        late += fleet.late;
        arrived += fleet.arrived();
    }
    // The random schedules must contain enough late and regular probes to be a meaningful test.
    CHECK_TRUE(late > 100U);
    CHECK_TRUE(arrived > 10'000U);
}
