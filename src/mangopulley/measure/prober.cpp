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

// Pause between rounds; with one probe per service and round, a service gets up to 50 probes a second.
constexpr milliseconds probe_interval{20};
// Attempts to acquire or renew a lease within one lease duration. With 6 s, an instance without the lease reads the
// store once a second.
constexpr int attempts_per_lease_duration = 6;

struct probed_service {
    std::optional<time_point> last_attempt{};
    std::uint64_t fence{};
    std::optional<probe_budget> budget{};
    std::size_t next_target{};
};

[[nodiscard]] std::string probe_lease_name(const std::string_view service) {
    return "probe/" + std::string{service};
}

} // namespace internal

struct prober::implementation {
    dependencies deps;
    callback_set callbacks;
    std::map<std::string, internal::probed_service, std::less<>> services{};
    std::atomic<std::uint64_t> sent{};
    std::unique_ptr<periodic_task> task{};

    implementation(const dependencies& collaborators, callback_set functions)
        : deps{collaborators}, callbacks{std::move(functions)} {}

    void release_lease(const std::string_view service) {
        const auto name = internal::probe_lease_name(service);
        if (this->deps.leases.current_grant(name)) {
            // If the release fails, the lease expires on its own.
            boost::leaf::try_handle_all([&] { return this->deps.leases.release(name); }, [] {});
        }
    }

    void acquire_or_renew(const std::string_view service, internal::probed_service& state) {
        const auto now = this->deps.time.now();
        const auto pause = duration{this->deps.leases.timing().duration} / internal::attempts_per_lease_duration;
        const auto name = internal::probe_lease_name(service);
        const auto grant = this->deps.leases.current_grant(name);
        const bool due = !grant || grant->until - now < duration{this->deps.leases.timing().duration} * 2 / 3;
        if (!due || (state.last_attempt && now - *state.last_attempt < pause)) {
            return;
        }
        state.last_attempt = now;
        boost::leaf::try_handle_all(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(acquired, this->deps.leases.acquire(name));
                static_cast<void>(acquired);
                return {};
            },
            [] {});
    }

    void probe_next_target(const service_entry& entry, internal::probed_service& state) {
        const auto name = internal::probe_lease_name(entry.name);
        const auto grant = this->deps.leases.current_grant(name);
        if (!grant) {
            state.budget.reset();
            return;
        }
        if (!state.budget || state.fence != grant->fence) {
            state.fence = grant->fence;
            state.budget.emplace(this->deps.time, this->deps.time.now() + probe_window);
        }
        const auto targets = this->callbacks.idle_targets(entry.name);
        // At least one late probe of the previous holder is always reserved, even if that holder released the lease.
        const auto reserve = std::max<std::size_t>(grant->lapsed, 1U);
        for (std::size_t count = 0U; count < targets.size(); ++count) {
            const auto& target = targets[state.next_target++ % targets.size()];
            if (state.budget->try_claim(target, entry.measuring, reserve)) {
                this->send_probe(entry.name, target, name, *state.budget);
                return;
            }
        }
    }

    void send_probe(const std::string_view service, const std::string& target, const std::string& name,
                    probe_budget& budget) {
        const auto grant = this->deps.leases.current_grant(name);
        const auto now = this->deps.time.now();
        if (!grant) {
            budget.complete(now);
            return;
        }
        const auto deadline = std::min<time_point>(grant->until, now + probe_timeout);
        this->sent.fetch_add(1U, std::memory_order_relaxed);
        boost::leaf::try_handle_all(
            [&]() -> result<void> {
                BOOST_LEAF_AUTO(load, this->deps.targets.probe(target, deadline));
                budget.complete(this->deps.time.now());
                this->callbacks.report(service, target, load);
                return {};
            },
            [&] { budget.complete(std::max(deadline, this->deps.time.now())); });
    }
};

prober::prober(const dependencies& collaborators, callback_set functions)
    : self{std::make_unique<implementation>(collaborators, std::move(functions))} {}

prober::~prober() {
    this->stop();
}

std::string_view prober::name() const noexcept {
    return "prober";
}

void prober::start() {
    this->self->task = std::make_unique<periodic_task>("prober", internal::probe_interval, [this] { this->step(); });
    this->self->task->start();
}

void prober::stop() noexcept {
    if (this->self->task) {
        this->self->task.reset();
        for (const auto& [service, state] : this->self->services) {
            this->self->release_lease(service);
        }
    }
}

void prober::step() {
    const auto document = this->self->deps.holder.current();
    for (const auto& entry : document->services) {
        auto& state = this->self->services[entry.name];
        if (!this->self->callbacks.is_primary(entry.name) || entry.measuring.probes_per_target_per_second < 2U ||
            entry.measuring.probes_per_second < 2U) {
            this->self->release_lease(entry.name);
            continue;
        }
        this->self->acquire_or_renew(entry.name, state);
        this->self->probe_next_target(entry, state);
    }
}

std::uint64_t prober::sent() const noexcept {
    return this->self->sent.load();
}

} // namespace mangopulley
