#include "service_queues.hpp"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "load_prober.hpp"
#include "shared_load.hpp"
#include "transaction_log.hpp"

namespace mangopulley {

namespace internal {

namespace {

// A response is possible in this share of the expected processing time.
constexpr double min_work_share = 0.7;

/*! @brief State of one service. */
struct service_state {
    std::unique_ptr<request_scheduler> scheduler{};
    fleet_retry_budget retries{retry_limits{}};
    hedge_policy hedges{};
};

} // namespace

} // namespace internal

struct service_queues::implementation {
    dependencies deps;
    rules rule;
    callbacks hooks;
    load_prober prober;
    std::map<std::string, internal::service_state, std::less<>> services{};
    /*! @brief Targets by key in `shared_load`. */
    std::unordered_map<std::uint32_t, target_pool::handle> by_key{};
    /*! @brief Remote requests in flight by key in `shared_load`, also at targets that are not listed yet. */
    std::unordered_map<std::uint32_t, std::uint32_t> remote_in_flight{};
    load_listener load_changed{};
    retry_limits retries{};
    std::optional<double> hedge_share{};
    std::size_t instances{1U};
    double probes_per_target{0.0};
    /*! @brief Shares of this instance of the requests to cold targets. */
    warm_up_senders senders{{}};
    std::vector<std::string> evacuated_zones{};
    timer_id advance_timer{};

    implementation(const dependencies& references, rules bounds, callbacks handlers)
        : deps{references}, rule{std::move(bounds)}, hooks{std::move(handlers)}, prober{references.loop,
                                                                                        references.wire_dialect,
                                                                                        references.channels} {}

    ~implementation() { this->deps.loop.cancel(this->advance_timer); }

    [[nodiscard]] time_point now() const noexcept { return this->deps.loop.now(); }

    internal::service_state& service(const std::string& name) {
        auto& state = this->services[name];
        if (!state.scheduler) {
            request_scheduler::callbacks scheduler_hooks{};
            scheduler_hooks.send = [this](const request_scheduler::request& item, const target_pool::handle& target) {
                if (target->is_cold(this->now())) {
                    this->deps.metric_sink.count("cold_requests_total");
                }
                this->hooks.send(item, target);
            };
            scheduler_hooks.refuse = this->hooks.refuse;
            scheduler_hooks.probe = [this, name](const target_pool::handle& target) { this->probe(name, target); };
            state.scheduler = std::make_unique<request_scheduler>(this->rule.target_choice, this->rule.scheduling,
                                                                  std::move(scheduler_hooks));
            state.scheduler->limit_probes(this->probes_per_target);
            this->configure_budgets(state);
        }
        return state;
    }

    void configure_budgets(internal::service_state& state) const {
        state.retries.configure(this->retries, this->instances);
        state.hedges.configure(this->hedge_share.value_or(0.0), this->instances, this->retries.window);
    }

    request_scheduler& scheduler(const std::string& name) { return *this->service(name).scheduler; }

    void advance_all() {
        const auto time = this->now();
        for (auto& [name, state] : this->services) {
            state.scheduler->advance(time);
        }
        this->schedule_advance();
    }

    /*! @brief Schedules the next advance of the schedulers; sets no timer while no request waits. */
    void schedule_advance() {
        const bool waiting = std::any_of(this->services.begin(), this->services.end(),
                                         [](const auto& entry) { return entry.second.scheduler->waiting() > 0U; });
        if (waiting && this->advance_timer == 0U) {
            this->advance_timer = this->deps.loop.after(this->rule.advance_period, [this] {
                this->advance_timer = 0U;
                this->advance_all();
            });
        }
    }

    void advance(const std::string& name) {
        this->scheduler(name).advance(this->now());
        this->schedule_advance();
    }

    /*! @brief Returns a service of the configuration in force, which may change while the targets do not, or null;
     * valid until the next configuration. */
    [[nodiscard]] const service_config* find_config(const std::string& name) const {
        const auto& records = this->deps.routes.current()->services;
        const auto record = std::find_if(records.begin(), records.end(),
                                         [&name](const service_config& item) { return item.name == name; });
        return record == records.end() ? nullptr : &*record;
    }

    [[nodiscard]] std::string health_path(const std::string& name) const {
        const auto* found = this->find_config(name);
        return found != nullptr ? found->health_path : std::string{"/"};
    }

    void limit_cold_targets(const std::string& name, target_pool& pool) const {
        const auto* found = this->find_config(name);
        pool.limit_cold_targets(found != nullptr ? found->warm_up_rate : 0.0, this->senders);
    }

    void evacuate(const std::string& name, target_pool& pool) {
        const auto* found = this->find_config(name);
        pool.evacuate(this->evacuated_zones, found != nullptr ? found->warm_up : duration::zero(), this->now());
        for (const auto& target : pool.targets()) {
            this->report_cold(name, *target, "return");
        }
    }

    [[nodiscard]] std::size_t targets_in(const std::string& zone) const {
        std::size_t count = 0U;
        for (const auto& [name, state] : this->services) {
            const auto targets = state.scheduler->targets().targets();
            count += static_cast<std::size_t>(
                std::count_if(targets.begin(), targets.end(),
                              [&zone](const target_pool::handle& target) { return target->listing.zone == zone; }));
        }
        return count;
    }

    void evacuate(const std::span<const std::string> zones) {
        const auto before = std::exchange(this->evacuated_zones, {zones.begin(), zones.end()});
        for (auto& [name, state] : this->services) {
            this->evacuate(name, state.scheduler->targets());
        }
        this->log_zones("zone_evacuated", "zones_evacuated_total", this->evacuated_zones, before);
        this->log_zones("zone_returned", "zones_returned_total", before, this->evacuated_zones);
        this->advance_all();
    }

    /*! @brief Logs and counts the zones of a set that are not in another one; a zone without targets is of no effect.
     */
    void log_zones(const std::string& event, const std::string& metric, const std::vector<std::string>& zones,
                   const std::vector<std::string>& known) {
        for (const auto& zone : zones) {
            if (std::find(known.begin(), known.end(), zone) == known.end()) {
                // A new instance waits for the evacuated zones before it takes over its targets.
                const auto targets =
                    this->by_key.empty() ? std::string{"unknown"} : std::to_string(this->targets_in(zone));
                this->deps.log.change(event, {{"zone", zone}, {"targets", targets}});
                this->deps.metric_sink.count(metric);
            }
        }
    }

    /*! @brief Logs and counts a target that became cold, once each time. */
    void report_cold(const std::string& name, pool_target& target, const std::string& source) {
        const auto time = this->now();
        if (std::exchange(target.reported_cold, target.is_cold(time)) || !target.is_cold(time)) {
            return;
        }
        const auto* found = this->find_config(name);
        if (found == nullptr || found->warm_up_rate <= 0.0) {
            return;
        }
        const auto left = std::chrono::duration_cast<milliseconds>(target.warm_up_until - time).count();
        this->deps.log.request("target_cold", {{"target", target.listing.id},
                                               {"born", std::to_string(target.listing.born)},
                                               {"service", name},
                                               {"left_ms", std::to_string(left)},
                                               {"own_share", internal::to_decimal(target.cold_share)},
                                               {"from", source}});
        this->deps.metric_sink.count("targets_cold_total");
    }

    void probe(const std::string& name, const target_pool::handle& target) {
        this->prober.probe(target->listing, this->health_path(name), this->rule.probe_timeout,
                           [this, name, target](const load_prober::probe_result& probed) {
                               this->handle_probe_result(name, target, probed);
                           });
    }

    void handle_probe_result(const std::string& name, const target_pool::handle& target,
                             const load_prober::probe_result& probed) {
        target->probe_pending = false;
        if (probed.reached) {
            this->record_advice(name, *target, probed.advice);
            if (probed.warm_up) {
                this->scheduler(name).targets().record_warm_up(*target, *probed.warm_up, this->now());
                this->report_cold(name, *target, "probe");
            }
        }
        this->record_displacement(name, *target, probed.other_target);
        auto& pool = this->scheduler(name).targets();
        if (probed.load) {
            pool.record_reading(*target, *probed.load, this->now());
        } else if (probed.reached) {
            pool.record_missing_report();
        } else if (!probed.inconclusive) {
            pool.record_probe_failure(*target, this->now());
        }
        this->advance(name);
    }

    void record_advice(const std::string& name, pool_target& target, const target_advice& advice) {
        if (advice.ignored_fields > 0U) {
            this->deps.metric_sink.count("target_fields_ignored_total");
        }
        if (!this->scheduler(name).targets().record_advice(target, advice, this->now())) {
            return;
        }
        const auto pause = advice.pause.value_or(duration::zero());
        this->deps.log.request(advice.leaving ? "target_leaving" : "target_paused",
                               {{"target", target.listing.id},
                                {"born", std::to_string(target.listing.born)},
                                {"service", name},
                                {"pause_ms", std::to_string(std::chrono::duration_cast<milliseconds>(pause).count())},
                                {"in_flight", std::to_string(target.in_flight)}});
        this->deps.metric_sink.count(advice.leaving ? "targets_leaving_total" : "targets_paused_total");
    }

    void record_displacement(const std::string& name, pool_target& target, const std::string_view other_id) {
        if (other_id.empty() || other_id == target.listing.id) {
            return;
        }
        this->scheduler(name).targets().record_displacement(target, this->now());
        this->deps.log.request("target_displaced", {{"target", target.listing.id},
                                                    {"born", std::to_string(target.listing.born)},
                                                    {"service", name},
                                                    {"endpoint", target.listing.endpoint},
                                                    {"found", std::string{other_id}}});
        this->deps.metric_sink.count("targets_displaced_total");
    }

    void update_targets(const target_list& list) {
        std::map<std::string, std::vector<listed_target>, std::less<>> by_service{};
        for (const auto& [name, state] : this->services) {
            by_service[name];
        }
        for (const auto& target : list.targets) {
            by_service[target.service].push_back(target);
        }
        this->by_key.clear();
        for (const auto& [name, targets] : by_service) {
            auto& state = this->service(name);
            state.scheduler->targets().update(targets, this->now());
            this->limit_cold_targets(name, state.scheduler->targets());
            this->evacuate(name, state.scheduler->targets());
            this->index(name, state.scheduler->targets());
        }
        this->advance_all();
    }

    void index(const std::string& name, const target_pool& pool) {
        for (const auto& target : pool.targets()) {
            const auto key = shared_load::key_of(target->listing.id);
            const auto stored = this->remote_in_flight.find(key);
            target->remote_in_flight = stored == this->remote_in_flight.end() ? 0U : stored->second;
            this->by_key[key] = target;
            this->report_cold(name, *target, "list");
        }
    }

    void set_remote_in_flight(const std::uint32_t key, const std::uint32_t count) {
        if (count == 0U) {
            this->remote_in_flight.erase(key);
        } else {
            this->remote_in_flight[key] = count;
        }
        const auto position = this->by_key.find(key);
        if (position != this->by_key.end()) {
            position->second->remote_in_flight = count;
        }
    }

    void notify_load(const pool_target& target) const {
        if (this->load_changed) {
            this->load_changed(shared_load::key_of(target.listing.id), target.in_flight);
        }
    }

    [[nodiscard]] nlohmann::json describe_target(const target_pool& pool, const pool_target& target) const {
        const auto time = this->now();
        const auto ms_until = [time](const time_point end) {
            return std::chrono::duration_cast<milliseconds>(std::max<duration>(end - time, duration::zero())).count();
        };
        return {{"id", target.listing.id},
                {"endpoint", target.listing.endpoint},
                {"zone", target.listing.zone},
                {"evacuated", target.evacuated},
                {"leaving", target.listing.draining},
                {"said_leaving", target.leaving},
                {"displaced", target.displaced_until > time},
                {"paused_ms", ms_until(target.paused_until)},
                {"cold_ms", ms_until(target.warm_up_until)},
                {"cold_share", target.cold_share},
                {"in_flight", target.in_flight},
                {"foreign", target.remote_in_flight},
                {"slowness", pool.slowdown(target, time)},
                {"failure_share", target.failure_share},
                {"rejection_share", target.rejection_share},
                {"lateness_share", target.lateness_share},
                {"avoided", target.avoid_until > time}};
    }
};

service_queues::service_queues(const dependencies& deps, rules bounds, callbacks hooks)
    : self{std::make_unique<implementation>(deps, std::move(bounds), std::move(hooks))} {}

service_queues::~service_queues() = default;

void service_queues::update_targets(const target_list& list) {
    this->self->update_targets(list);
}

void service_queues::configure(const retry_limits& retries, const std::size_t instances,
                               const double probes_per_target) {
    auto& state = *this->self;
    state.retries = retries;
    state.instances = instances;
    state.probes_per_target = probes_per_target;
    for (auto& [name, service] : state.services) {
        state.configure_budgets(service);
        service.scheduler->limit_probes(probes_per_target);
    }
}

void service_queues::limit_hedges(const std::optional<double> extra_share) {
    this->self->hedge_share = extra_share;
    for (auto& [name, service] : this->self->services) {
        this->self->configure_budgets(service);
    }
}

void service_queues::limit_cold_targets(const warm_up_senders& senders) {
    this->self->senders = senders;
    for (auto& [name, service] : this->self->services) {
        this->self->limit_cold_targets(name, service.scheduler->targets());
    }
}

void service_queues::evacuate(const std::span<const std::string> zones) {
    this->self->evacuate(zones);
}

void service_queues::set_remote_in_flight(const std::uint32_t key, const std::uint32_t remote_in_flight) {
    this->self->set_remote_in_flight(key, remote_in_flight);
}

void service_queues::on_load_change(load_listener listener) {
    this->self->load_changed = std::move(listener);
}

void service_queues::count_request(const std::string& service) {
    this->self->service(service).retries.count_request(this->self->now());
}

void service_queues::submit(const std::string& service, const request_scheduler::request& item) {
    this->self->scheduler(service).submit(item, this->self->now());
    this->self->schedule_advance();
}

void service_queues::withdraw(const std::string& service, const request_scheduler::request& item) {
    this->self->scheduler(service).withdraw(item);
}

void service_queues::advance(const std::string& service) {
    this->self->advance(service);
}

void service_queues::notify_load(const pool_target& target) const {
    this->self->notify_load(target);
}

void service_queues::end(const std::string& service, pool_target& target, const send_outcome outcome,
                         const std::optional<load_reading>& load, const duration elapsed) {
    auto& scheduler = this->self->scheduler(service);
    scheduler.targets().end(target, outcome, load, this->self->now());
    this->self->notify_load(target);
    if (outcome == send_outcome::succeeded) {
        scheduler.record_slot_time(elapsed);
    } else if (outcome == send_outcome::overtaken) {
        this->record_response_time(service, elapsed);
    }
}

void service_queues::record_statements(const std::string& service, pool_target& target,
                                       const received_response& response) {
    if (response.verdict != internal::response_verdict::misdirected) {
        this->self->record_advice(service, target, response.metadata.advice);
    } else if (!response.reused_connection) {
        this->self->record_displacement(service, target, response.metadata.target_id);
    }
}

bool service_queues::try_take_retry(const std::string& service, const std::span<const std::string> tried) {
    auto& state = this->self->service(service);
    const auto now = this->self->now();
    return state.scheduler->targets().has_usable(tried, now) && state.retries.try_take(now);
}

void service_queues::count_first_attempt(const std::string& service) {
    this->self->service(service).hedges.record_request(this->self->now());
}

void service_queues::record_response_time(const std::string& service, const duration elapsed) {
    this->self->service(service).hedges.record_time(elapsed);
}

std::optional<duration> service_queues::hedge_delay(const std::string& service) {
    return this->self->service(service).hedges.delay();
}

duration service_queues::hedge_recheck_period(const std::string& service) {
    return this->self->service(service).hedges.recheck_period();
}

service_queues::hedge_decision service_queues::try_hedge(const std::string& service, const hedge_request& slow) {
    auto& state = this->self->service(service);
    const auto now = this->self->now();
    auto& pool = state.scheduler->targets();
    const hedge_candidate candidate{slow.body_held,
                                    slow.attempts,
                                    slow.max_attempts,
                                    slow.deadline - now,
                                    std::chrono::duration_cast<duration>(slow.work * internal::min_work_share),
                                    state.scheduler->busy_share(now),
                                    state.scheduler->waiting() > 0U};
    target_pool::handle target{};
    const auto find_target = [&] {
        target = pool.best_for_hedge({slow.work, slow.tried, false, slow.zone}, now);
        return target != nullptr;
    };
    if (const auto obstacle = state.hedges.decide(candidate, state.retries, find_target, now)) {
        return {nullptr, *obstacle};
    }
    pool.begin(*target, now);
    return {std::move(target), {}};
}

double service_queues::slowdown(const std::string& service, const pool_target& target) {
    return this->self->scheduler(service).targets().slowdown(target, this->self->now());
}

duration service_queues::expected_wait(const std::string& service) {
    return this->self->scheduler(service).expected_wait(this->self->now());
}

std::optional<duration> service_queues::pause_left(const std::string& service) {
    return this->self->scheduler(service).pause_left(this->self->now());
}

request_preview service_queues::preview(const std::string& service, const waiting_request& item) const {
    const auto known = this->self->services.find(service);
    if (known != this->self->services.end()) {
        return known->second.scheduler->preview(item, this->self->now());
    }
    // A service without listed targets gets its queue with its first request.
    const request_scheduler unused{this->self->rule.target_choice, this->self->rule.scheduling, {}};
    return unused.preview(item, this->self->now());
}

std::uint64_t service_queues::probes() const noexcept {
    return this->self->prober.sent();
}

nlohmann::json service_queues::describe() const {
    auto services = nlohmann::json::object();
    for (const auto& [name, state] : this->self->services) {
        auto targets = nlohmann::json::array();
        for (const auto& target : state.scheduler->targets().targets()) {
            targets.push_back(this->self->describe_target(state.scheduler->targets(), *target));
        }
        services[name] = {
            {"waiting", state.scheduler->waiting()},
            {"hedge_delay_ms",
             std::chrono::duration_cast<milliseconds>(state.hedges.delay().value_or(duration::zero())).count()},
            {"targets", std::move(targets)}};
    }
    return services;
}

} // namespace mangopulley
