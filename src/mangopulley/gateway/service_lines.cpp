#include "service_lines.hpp"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "load_prober.hpp"
#include "shared_load.hpp"

namespace mangopulley {

namespace internal {

namespace {

/*! @brief State of one service. */
struct service_state {
    std::unique_ptr<request_scheduler> scheduler{};
    repeat_budget repeats{repeat_rule{}};
    std::string health_path{"/"};
};

} // namespace

} // namespace internal

struct service_lines::implementation {
    parts environment;
    rules rule;
    actions callbacks;
    load_prober prober;
    std::map<std::string, internal::service_state, std::less<>> services{};
    /*! @brief Targets and remote requests in flight by key in `shared_load`; the latter also for targets not yet
     * listed. */
    std::unordered_map<std::uint32_t, target_pool::handle> by_key{};
    std::unordered_map<std::uint32_t, std::uint32_t> foreign{};
    load_listener load_changed{};
    repeat_rule repeats{};
    std::size_t instances{1U};
    double probes_per_target{0.0};
    timer_id advance_timer{};

    implementation(const parts& used, rules bounds, actions handlers)
        : environment{used}, rule{std::move(bounds)}, callbacks{std::move(handlers)}, prober{used.loop, used.speech,
                                                                                             used.channels} {}

    ~implementation() { this->environment.loop.cancel(this->advance_timer); }

    [[nodiscard]] time_point now() const noexcept { return this->environment.loop.now(); }

    internal::service_state& service(const std::string& name) {
        auto& state = this->services[name];
        if (!state.scheduler) {
            request_scheduler::actions scheduler_callbacks{};
            scheduler_callbacks.send = this->callbacks.send;
            scheduler_callbacks.refuse = this->callbacks.refuse;
            scheduler_callbacks.probe = [this, name](const target_pool::handle& target) { this->probe(name, target); };
            state.scheduler = std::make_unique<request_scheduler>(this->rule.choice, this->rule.order,
                                                                  std::move(scheduler_callbacks));
            state.scheduler->limit_probes(this->probes_per_target);
            state.repeats.configure(this->repeats, this->instances);
        }
        return state;
    }

    request_scheduler& scheduler(const std::string& name) { return *this->service(name).scheduler; }

    void advance_all() {
        const auto time = this->now();
        for (auto& [name, state] : this->services) {
            state.scheduler->advance(time);
        }
        this->schedule_advance();
    }

    /*! @brief Schedules the next pass over waiting requests; sets no timer while none are waiting. */
    void schedule_advance() {
        const bool waiting = std::any_of(this->services.begin(), this->services.end(),
                                         [](const auto& entry) { return entry.second.scheduler->waiting() > 0U; });
        if (waiting && this->advance_timer == 0U) {
            this->advance_timer = this->environment.loop.after(this->rule.advance_period, [this] {
                this->advance_timer = 0U;
                this->advance_all();
            });
        }
    }

    void advance(const std::string& name) {
        this->scheduler(name).advance(this->now());
        this->schedule_advance();
    }

    void probe(const std::string& name, const target_pool::handle& target) {
        this->prober.probe(
            target->listing, this->services[name].health_path, this->rule.probe_timeout,
            [this, name, target](const load_prober::answer& seen) { this->handle_probe_result(name, target, seen); });
    }

    void handle_probe_result(const std::string& name, const target_pool::handle& target,
                             const load_prober::answer& seen) {
        target->probe_pending = false;
        auto& pool = this->scheduler(name).targets();
        if (seen.load) {
            pool.take_reading(*target, *seen.load, this->now());
        } else if (seen.reached) {
            pool.note_no_report();
        } else if (!seen.inconclusive) {
            pool.note_probe_failure(*target, this->now());
        }
        this->advance(name);
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
            this->index(state.scheduler->targets());
            for (const auto& record : this->environment.routes.current()->services) {
                if (record.name == name) {
                    state.health_path = record.health_path;
                }
            }
        }
        this->advance_all();
    }

    void index(const target_pool& pool) {
        for (const auto& target : pool.targets()) {
            const auto key = shared_load::key_of(target->listing.id);
            const auto stored = this->foreign.find(key);
            target->foreign = stored == this->foreign.end() ? 0U : stored->second;
            this->by_key[key] = target;
        }
    }

    void set_foreign(const std::uint32_t key, const std::uint32_t count) {
        if (count == 0U) {
            this->foreign.erase(key);
        } else {
            this->foreign[key] = count;
        }
        const auto position = this->by_key.find(key);
        if (position != this->by_key.end()) {
            position->second->foreign = count;
        }
    }

    void tell_load(const pool_target& target) const {
        if (this->load_changed) {
            this->load_changed(shared_load::key_of(target.listing.id), target.in_flight);
        }
    }

    [[nodiscard]] nlohmann::json describe_target(const target_pool& pool, const pool_target& target) const {
        const auto time = this->now();
        return {{"id", target.listing.id},
                {"endpoint", target.listing.endpoint},
                {"zone", target.listing.zone},
                {"leaving", target.listing.leaving},
                {"in_flight", target.in_flight},
                {"foreign", target.foreign},
                {"slowness", pool.slowness(target, time)},
                {"failure_share", target.failure_share},
                {"avoided", target.avoid_until > time}};
    }
};

service_lines::service_lines(const parts& environment, rules bounds, actions callbacks)
    : self{std::make_unique<implementation>(environment, std::move(bounds), std::move(callbacks))} {}

service_lines::~service_lines() = default;

void service_lines::update_targets(const target_list& list) {
    this->self->update_targets(list);
}

void service_lines::configure(const repeat_rule& repeats, const std::size_t instances, const double probes_per_target) {
    auto& state = *this->self;
    state.repeats = repeats;
    state.instances = instances;
    state.probes_per_target = probes_per_target;
    for (auto& [name, service] : state.services) {
        service.repeats.configure(repeats, instances);
        service.scheduler->limit_probes(probes_per_target);
    }
}

void service_lines::set_foreign(const std::uint32_t key, const std::uint32_t foreign) {
    this->self->set_foreign(key, foreign);
}

void service_lines::on_load_change(load_listener action) {
    this->self->load_changed = std::move(action);
}

void service_lines::count_request(const std::string& service) {
    this->self->service(service).repeats.count_request(this->self->now());
}

void service_lines::submit(const std::string& service, const request_scheduler::request& item) {
    this->self->scheduler(service).submit(item, this->self->now());
    this->self->schedule_advance();
}

void service_lines::withdraw(const std::string& service, const request_scheduler::request& item) {
    this->self->scheduler(service).withdraw(item);
}

void service_lines::advance(const std::string& service) {
    this->self->advance(service);
}

void service_lines::tell_load(const pool_target& target) const {
    this->self->tell_load(target);
}

void service_lines::end(const std::string& service, pool_target& target, const send_outcome outcome,
                        const std::optional<load_reading>& load, const duration taken) {
    auto& scheduler = this->self->scheduler(service);
    scheduler.targets().end(target, outcome, load, this->self->now());
    this->self->tell_load(target);
    if (outcome == send_outcome::answered) {
        scheduler.note_completion(taken);
    }
}

bool service_lines::try_take_repeat(const std::string& service, const std::span<const std::string> tried) {
    auto& state = this->self->service(service);
    return state.scheduler->targets().has_usable(tried) && state.repeats.try_take(this->self->now());
}

double service_lines::slowness(const std::string& service, const pool_target& target) {
    return this->self->scheduler(service).targets().slowness(target, this->self->now());
}

duration service_lines::expected_wait(const std::string& service) {
    return this->self->scheduler(service).expected_wait();
}

std::uint64_t service_lines::probes() const noexcept {
    return this->self->prober.sent();
}

nlohmann::json service_lines::describe() const {
    auto services = nlohmann::json::object();
    for (const auto& [name, state] : this->self->services) {
        auto targets = nlohmann::json::array();
        for (const auto& target : state.scheduler->targets().targets()) {
            targets.push_back(this->self->describe_target(state.scheduler->targets(), *target));
        }
        services[name] = {{"waiting", state.scheduler->waiting()}, {"targets", std::move(targets)}};
    }
    return services;
}

} // namespace mangopulley
