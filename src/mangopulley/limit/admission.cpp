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

// Requests arrive in bursts; a bucket that holds 100 ms of the rate keeps the error of the limit under 10% in any
// second.
constexpr double burst_seconds = 0.1;
// Fraction of a limit at which an alert is raised, so that the director learns of it before requests are refused.
constexpr double alert_threshold = 0.8;
// Longest time between two attempts of a waiting request: its share or limit may change without a notification.
constexpr milliseconds recheck_period{20};

/*! @brief Returns how many requests may be in progress at this instance; unlimited if no limit was agreed (zero). */
[[nodiscard]] double max_in_progress(const service_limits& limits, const double share) noexcept {
    if (limits.concurrent == 0U) {
        return std::numeric_limits<double>::infinity();
    }
    if (share <= 0.0) {
        return 0.0;
    }
    return std::max(1.0, share * (static_cast<double>(limits.concurrent) + static_cast<double>(limits.waiting)));
}

/*! @brief Counts requests over a sliding window of one second in ten intervals of 100 ms. */
class rate_meter {
public:
    void add(const time_point now) {
        this->advance(now);
        ++this->counts[static_cast<std::size_t>(this->current) % intervals_per_second];
    }

    [[nodiscard]] double per_second(const time_point now) {
        this->advance(now);
        double sum = 0.0;
        for (const auto count : this->counts) {
            sum += static_cast<double>(count);
        }
        return sum;
    }

private:
    static constexpr std::size_t intervals_per_second = 10U;

    void advance(const time_point now) {
        const auto interval = std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count() / 100;
        const auto steps = std::min<std::int64_t>(interval - this->current, intervals_per_second);
        for (std::int64_t step = 0; step < steps; ++step) {
            this->counts[static_cast<std::size_t>(interval - step) % intervals_per_second] = 0U;
        }
        this->current = std::max(interval, this->current);
    }

    std::array<std::uint64_t, intervals_per_second> counts{};
    std::int64_t current{};
};

struct admission_state {
    std::mutex guard{};
    std::condition_variable changed{};
    token_bucket bucket{0.0, 0.0, time_point{}};
    rate_meter meter{};
    /*! @brief Rate set in the bucket in requests per second; -1 before the first request. */
    double configured_rate{-1.0};
    std::uint32_t in_progress{};
    std::uint64_t refused{};

    void release() {
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
    std::map<std::string, std::shared_ptr<internal::admission_state>, std::less<>> services{};

    implementation(const clock& source, const share_table& table, alert_gate& gate)
        : time{source}, shares{table}, alerts{gate} {}

    [[nodiscard]] std::shared_ptr<internal::admission_state> state_of(const std::string& service) {
        const std::lock_guard lock{this->guard};
        auto& state = this->services[service];
        if (!state) {
            state = std::make_shared<internal::admission_state>();
        }
        return state;
    }

    void configure(internal::admission_state& state, const service_entry& service, const double share) const {
        const double rate = service.limits.requests_per_second * share;
        if (rate != state.configured_rate) {
            const auto now = this->time.now();
            // A share of zero also discards the tokens accumulated so far.
            const double burst = rate > 0.0 ? std::max(1.0, rate * internal::burst_seconds) : 0.0;
            state.bucket.configure(rate, burst, now);
            state.configured_rate = rate;
        }
    }

    /*! @brief Counts the request as in progress and returns nothing, or returns the limit that it would exceed. */
    [[nodiscard]] std::optional<limit_kind> try_admit(internal::admission_state& state,
                                                      const service_entry& service) const {
        const double share = this->shares.share(service.name);
        this->configure(state, service, share);
        const double max_in_progress = internal::max_in_progress(service.limits, share);
        const auto now = this->time.now();
        if (static_cast<double>(state.in_progress) + 1.0 > max_in_progress) {
            return limit_kind::concurrent_and_waiting;
        }
        if (service.limits.requests_per_second > 0.0 && !state.bucket.try_take(now)) {
            return limit_kind::requests_per_second;
        }
        ++state.in_progress;
        this->raise_early_alerts(state, service, max_in_progress);
        return std::nullopt;
    }

    void raise_early_alerts(internal::admission_state& state, const service_entry& service,
                            const double max_in_progress) const {
        if (static_cast<double>(state.in_progress) >= internal::alert_threshold * max_in_progress) {
            this->alerts.raise(service.name, limit_kind::concurrent_and_waiting, "80% of the limit is in use");
        }
        const bool rate_limited = service.limits.requests_per_second > 0.0;
        if (rate_limited &&
            state.meter.per_second(this->time.now()) >= internal::alert_threshold * state.configured_rate) {
            this->alerts.raise(service.name, limit_kind::requests_per_second, "80% of the limit is in use");
        }
    }
};

admission::admission(const clock& time, const share_table& shares, alert_gate& alerts)
    : self{std::make_unique<implementation>(time, shares, alerts)} {}

admission::~admission() = default;

result<permit> admission::admit(const service_entry& service, const time_point deadline) {
    const auto state = this->self->state_of(service.name);
    std::unique_lock lock{state->guard};
    // Refused requests count too: a limit is shared among the instances in proportion to the offered load.
    state->meter.add(this->self->time.now());
    while (true) {
        // Read before the attempt: with a later time a token could have become available since, and the retry delay
        // would be 0.
        const auto now = this->self->time.now();
        const auto exceeded = this->self->try_admit(*state, service);
        if (!exceeded) {
            return permit{std::shared_ptr<void>{state.get(), [state](void* /*handle*/) { state->release(); }}};
        }
        this->self->alerts.raise(service.name, *exceeded, "the limit is reached");
        if (this->self->alerts.refusal_allowed(service.name, *exceeded)) {
            ++state->refused;
            const auto retry_after = *exceeded == limit_kind::requests_per_second ? state->bucket.time_to_token(now)
                                                                                  : duration{std::chrono::seconds{1}};
            return boost::leaf::new_error(refusal_error{
                service.name, *exceeded, std::max(milliseconds{1}, std::chrono::ceil<milliseconds>(retry_after))});
        }
        if (now >= deadline) {
            return boost::leaf::new_error(admission_timeout_error{service.name, *exceeded});
        }
        const auto timeout = std::min<duration>(deadline - now, internal::recheck_period);
        state->changed.wait_for(lock, timeout);
    }
}

std::vector<admission::usage> admission::describe() const {
    std::map<std::string, std::shared_ptr<internal::admission_state>, std::less<>> services{};
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
