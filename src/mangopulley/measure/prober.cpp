#include "prober.hpp"

#include <algorithm>
#include <atomic>
#include <map>
#include <optional>
#include <utility>

#include "../core/periodic_task.hpp"
#include "../lease/lease_manager.hpp"
#include "probe_budget.hpp"

namespace mangopulley {

namespace internal {

// A pause between rounds; one probe per service and round allows 50 probes a second.
constexpr milliseconds probe_round{20};
// Attempts to take or renew a lease in one duration of it. With 6 s, an observer makes one read a second.
constexpr int attempts_per_duration = 6;

struct probed_service {
    std::optional<time_point> attempted{};
    std::uint64_t fence{};
    std::optional<probe_budget> budget{};
    std::size_t next_target{};
};

[[nodiscard]] std::string lease_of(const std::string_view service) {
    return "probe/" + std::string{service};
}

} // namespace internal

struct prober::implementation {
    parts use;
    hooks connect;
    std::map<std::string, internal::probed_service, std::less<>> services{};
    std::atomic<std::uint64_t> sent{};
    std::unique_ptr<periodic_task> task{};

    implementation(const parts& environment, hooks connections) : use{environment}, connect{std::move(connections)} {}

    void give_up(const std::string_view service) {
        const auto name = internal::lease_of(service);
        if (this->use.leases.current_grant(name)) {
            // A failure leaves the lease to lapse.
            boost::leaf::try_handle_all([&] { return this->use.leases.release(name); }, [] {});
        }
    }

    void attempt(const std::string_view service, internal::probed_service& state) {
        const auto now = this->use.time.now();
        const auto pause = duration{this->use.leases.timing().duration} / internal::attempts_per_duration;
        const auto name = internal::lease_of(service);
        const auto grant = this->use.leases.current_grant(name);
        const bool due = !grant || grant->until - now < duration{this->use.leases.timing().duration} * 2 / 3;
        if (!due || (state.attempted && now - *state.attempted < pause)) {
            return;
        }
        state.attempted = now;
        boost::leaf::try_handle_all(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(taken, this->use.leases.acquire(name));
                static_cast<void>(taken);
                return {};
            },
            [] {});
    }

    void probe_one(const service_entry& entry, internal::probed_service& state) {
        const auto name = internal::lease_of(entry.name);
        const auto held = this->use.leases.current_grant(name);
        if (!held) {
            state.budget.reset();
            return;
        }
        if (!state.budget || state.fence != held->fence) {
            state.fence = held->fence;
            state.budget.emplace(this->use.time, this->use.time.now() + probe_window);
        }
        const auto targets = this->connect.idle_targets(entry.name);
        // One late probe of the latest former holder is always provided for, even when it gave the lease up.
        const auto reserve = std::max<std::size_t>(held->lapsed, 1U);
        for (std::size_t count = 0U; count < targets.size(); ++count) {
            const auto& target = targets[state.next_target++ % targets.size()];
            if (state.budget->try_begin(target, entry.measuring, reserve)) {
                this->send(entry.name, target, name, *state.budget);
                return;
            }
        }
    }

    void send(const std::string_view service, const std::string& target, const std::string& name,
              probe_budget& budget) {
        const auto grant = this->use.leases.current_grant(name);
        const auto now = this->use.time.now();
        if (!grant) {
            budget.settle(now);
            return;
        }
        const auto deadline = std::min<time_point>(grant->until, now + probe_timeout);
        this->sent.fetch_add(1U, std::memory_order_relaxed);
        boost::leaf::try_handle_all(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(load, this->use.targets.probe(target, deadline));
                budget.settle(this->use.time.now());
                this->connect.report(service, target, load);
                return {};
            },
            [&] { budget.settle(std::max(deadline, this->use.time.now())); });
    }
};

prober::prober(const parts& environment, hooks connections)
    : self{std::make_unique<implementation>(environment, std::move(connections))} {}

prober::~prober() {
    this->stop();
}

std::string_view prober::name() const noexcept {
    return "prober";
}

void prober::start() {
    this->self->task = std::make_unique<periodic_task>("prober", internal::probe_round, [this] { this->step(); });
    this->self->task->start();
}

void prober::stop() noexcept {
    if (this->self->task) {
        this->self->task.reset();
        for (const auto& [service, state] : this->self->services) {
            this->self->give_up(service);
        }
    }
}

void prober::step() {
    const auto document = this->self->use.holder.current();
    for (const auto& entry : document->services) {
        auto& state = this->self->services[entry.name];
        if (!this->self->connect.wanted(entry.name) || entry.measuring.probes_per_target_per_second < 2U ||
            entry.measuring.probes_per_second < 2U) {
            this->self->give_up(entry.name);
            continue;
        }
        this->self->attempt(entry.name, state);
        this->self->probe_one(entry, state);
    }
}

std::uint64_t prober::sent() const noexcept {
    return this->self->sent.load();
}

} // namespace mangopulley
