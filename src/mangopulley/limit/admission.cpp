#include "admission.hpp"

#include <algorithm>
#include <array>
#include <condition_variable>
#include <limits>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

#include "token_bucket.hpp"

namespace mangopulley {

namespace internal {

// Requests come in clusters; a burst of 100 ms worth keeps the error of the limit under 10% in any second.
constexpr double burst_seconds = 0.1;
// An alert at this part of a limit gives the director a lead before requests are refused.
constexpr double alert_threshold = 0.8;
// Shares and limits change while a request waits, so it looks again at least this often.
constexpr milliseconds recheck_period{20};

/*! @brief Returns how many requests may be in progress at this instance; a limit of zero means none was agreed. */
[[nodiscard]] double places_of(const service_limits& limits, const double share) noexcept {
    if (limits.concurrent == 0U) {
        return std::numeric_limits<double>::infinity();
    }
    if (share <= 0.0) {
        return 0.0;
    }
    return std::max(1.0, share * (static_cast<double>(limits.concurrent) + static_cast<double>(limits.waiting)));
}

/*! @brief Requests counted over the last second in ten parts. */
class rate_meter {
public:
    void add(const time_point now) {
        this->advance(now);
        ++this->parts[static_cast<std::size_t>(this->current) % parts_per_second];
    }

    [[nodiscard]] double per_second(const time_point now) {
        this->advance(now);
        double sum = 0.0;
        for (const auto part : this->parts) {
            sum += static_cast<double>(part);
        }
        return sum;
    }

private:
    static constexpr std::size_t parts_per_second = 10U;

    void advance(const time_point now) {
        const auto part = std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count() / 100;
        const auto steps = std::min<std::int64_t>(part - this->current, parts_per_second);
        for (std::int64_t step = 0; step < steps; ++step) {
            this->parts[static_cast<std::size_t>(part - step) % parts_per_second] = 0U;
        }
        this->current = std::max(part, this->current);
    }

    std::array<std::uint64_t, parts_per_second> parts{};
    std::int64_t current{};
};

struct service_usage {
    std::mutex guard{};
    std::condition_variable changed{};
    token_bucket bucket{0.0, 0.0, time_point{}};
    rate_meter meter{};
    double rate{-1.0};
    std::uint32_t in_progress{};
    std::uint64_t refused{};

    void leave() {
        {
            const std::lock_guard lock{this->guard};
            --this->in_progress;
        }
        this->changed.notify_one();
    }
};

} // namespace internal

struct admission::implementation {
    const clock& time;
    const share_table& shares;
    alert_gate& alerts;
    mutable std::mutex guard{};
    std::map<std::string, std::shared_ptr<internal::service_usage>, std::less<>> services{};

    implementation(const clock& source, const share_table& table, alert_gate& gate)
        : time{source}, shares{table}, alerts{gate} {}

    [[nodiscard]] std::shared_ptr<internal::service_usage> usage_of(const std::string& service) {
        const std::lock_guard lock{this->guard};
        auto& usage = this->services[service];
        if (!usage) {
            usage = std::make_shared<internal::service_usage>();
        }
        return usage;
    }

    void configure(internal::service_usage& usage, const service_entry& service, const double share) const {
        const double rate = service.limits.requests_per_second * share;
        if (rate != usage.rate) {
            const auto now = this->time.now();
            // A share that falls to zero takes the gathered tokens with it.
            const double burst = rate > 0.0 ? std::max(1.0, rate * internal::burst_seconds) : 0.0;
            usage.bucket.configure(rate, burst, now);
            usage.rate = rate;
        }
    }

    /*! @brief Returns the limit that stands in the way, or nothing after taking a place. */
    [[nodiscard]] std::optional<limit_kind> try_enter(internal::service_usage& usage,
                                                      const service_entry& service) const {
        const double share = this->shares.share(service.name);
        this->configure(usage, service, share);
        const double places = internal::places_of(service.limits, share);
        const auto now = this->time.now();
        if (static_cast<double>(usage.in_progress) + 1.0 > places) {
            return limit_kind::concurrent_and_waiting;
        }
        if (service.limits.requests_per_second > 0.0 && !usage.bucket.try_take(now)) {
            return limit_kind::requests_per_second;
        }
        ++usage.in_progress;
        this->warn_early(usage, service, places);
        return std::nullopt;
    }

    void warn_early(internal::service_usage& usage, const service_entry& service, const double places) const {
        if (static_cast<double>(usage.in_progress) >= internal::alert_threshold * places) {
            this->alerts.raise(service.name, limit_kind::concurrent_and_waiting, "80% of the limit is in use");
        }
        const bool rate_limited = service.limits.requests_per_second > 0.0;
        if (rate_limited && usage.meter.per_second(this->time.now()) >= internal::alert_threshold * usage.rate) {
            this->alerts.raise(service.name, limit_kind::requests_per_second, "80% of the limit is in use");
        }
    }
};

admission::admission(const clock& time, const share_table& shares, alert_gate& alerts)
    : self{std::make_unique<implementation>(time, shares, alerts)} {}

admission::~admission() = default;

result<permit> admission::admit(const service_entry& service, const time_point deadline) {
    const auto state = this->self->usage_of(service.name);
    std::unique_lock lock{state->guard};
    // Refused requests count too: the instances share a limit by what is offered to them.
    state->meter.add(this->self->time.now());
    while (true) {
        // Read before the attempt: with a later time a token could have come since, and the time to wait would be 0.
        const auto now = this->self->time.now();
        const auto obstacle = this->self->try_enter(*state, service);
        if (!obstacle) {
            return permit{std::shared_ptr<void>{state.get(), [state](void* /*place*/) { state->leave(); }}};
        }
        this->self->alerts.raise(service.name, *obstacle, "the limit is reached");
        if (this->self->alerts.acknowledged(service.name, *obstacle)) {
            ++state->refused;
            const auto wait = *obstacle == limit_kind::requests_per_second ? state->bucket.time_to_token(now)
                                                                           : duration{std::chrono::seconds{1}};
            return boost::leaf::new_error(refusal_error{
                service.name, *obstacle, std::max(milliseconds{1}, std::chrono::ceil<milliseconds>(wait))});
        }
        if (now >= deadline) {
            return boost::leaf::new_error(admission_timeout_error{service.name, *obstacle});
        }
        const auto left = std::min<duration>(deadline - now, internal::recheck_period);
        state->changed.wait_for(lock, left);
    }
}

std::vector<admission::usage> admission::describe() const {
    std::map<std::string, std::shared_ptr<internal::service_usage>, std::less<>> services{};
    {
        const std::lock_guard lock{this->self->guard};
        services = this->self->services;
    }
    std::vector<usage> all{};
    for (const auto& [name, item] : services) {
        const std::lock_guard lock{item->guard};
        all.push_back({name, item->meter.per_second(this->self->time.now()), item->in_progress, item->refused});
    }
    return all;
}

} // namespace mangopulley
