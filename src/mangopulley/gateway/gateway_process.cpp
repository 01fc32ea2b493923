#include "gateway_process.hpp"

#include <algorithm>
#include <atomic>
#include <utility>
#include <vector>

#include <Poco/Exception.h>
#include <Poco/String.h>

#include "../core/incarnation_id.hpp"
#include "../core/registry.hpp"
#include "../loop/datagram_port.hpp"
#include "../observe/decision_log.hpp"
#include "../observe/metrics.hpp"
#include "async_http_server.hpp"
#include "directory_service.hpp"
#include "evacuation_follower.hpp"
#include "fleet.hpp"
#include "forwarder.hpp"
#include "load_sharing.hpp"
#include "operator_service.hpp"
#include "peer_fetcher.hpp"
#include "peer_service.hpp"
#include "platform_adapter.hpp"
#include "platform_follower.hpp"
#include "port_monitor.hpp"
#include "request_limits.hpp"
#include "route_table.hpp"
#include "settings_reloader.hpp"
#include "team_quotas.hpp"
#include "transaction_log.hpp"

namespace mangopulley {

namespace internal {

namespace {

constexpr double max_request_log_lines_per_second = 300.0;
constexpr duration peer_fetch_timeout{std::chrono::milliseconds{500}};
// Delay of the first seed's first read. Others that run answer within it; what they hold may be newer than a store that
// was just restored from a copy.
constexpr duration seed_read_delay{std::chrono::milliseconds{50}};
// Delay of the first read if no other instance is known.
constexpr duration lone_read_delay{std::chrono::milliseconds{400}};
// Delay of the first read if others are known, so that one of them reads first. A few steps, which differ between
// instances, are added so that they do not read simultaneously.
constexpr duration shared_read_delay{std::chrono::milliseconds{1'200}};
constexpr duration read_delay_step{std::chrono::milliseconds{100}};
constexpr std::uint64_t read_delay_steps = 8U;
constexpr duration min_quota_window{std::chrono::milliseconds{100}};
constexpr std::size_t bytes_per_mb = 1'000'000U;
// The rest is for the copies that wait to be sent, for responses and for everything else.
constexpr std::size_t body_memory_divisor = 8U;
constexpr duration settings_period{std::chrono::seconds{1}};
// An entry expires after three intervals without a heartbeat; one more covers a late store.
constexpr int heartbeats_per_stale_entry = 4;
constexpr duration expiry_period{std::chrono::milliseconds{100}};
constexpr duration signal_period{std::chrono::milliseconds{40}};
// A stopping instance keeps accepting requests from callers with an old address list; the rest of the stop time is for
// responses.
constexpr double serving_share_of_stop = 0.75;
// In the first part of a stop, requests are admitted whatever their deadline; most are answered long before it.
constexpr double full_admission_share_of_stop = 0.5;
constexpr duration max_full_admission{std::chrono::milliseconds{2'500}};
// The platform kills the process at the end of the stop time; the last responses are sent this long before.
constexpr double stop_margin_share = 0.06;
constexpr duration max_stop_margin{std::chrono::milliseconds{350}};
// Share of the fleet's probe budget that is distributed; the rest covers instances that disagree on their number.
constexpr double usable_probe_share = 0.7;
constexpr duration measure_period{std::chrono::milliseconds{250}};
// Processor time of a refusal beyond a quota, as a share of a forwarded request's. A flood of them needs no more
// instances, and each further one would exchange its demand with all others.
constexpr double cost_of_quota_refusal = 0.2;
// Weight of the newest sample in the smoothed request rate.
constexpr double rate_weight = 0.15;
// An instance whose loop lags this far behind is advertised last; the lower threshold keeps it from alternating.
constexpr duration starved_lag{std::chrono::milliseconds{40}};
constexpr duration recovered_lag{std::chrono::milliseconds{15}};

[[nodiscard]] std::string ip_of(const std::string& endpoint) {
    return endpoint.substr(0U, endpoint.rfind(':'));
}

} // namespace

} // namespace internal

struct gateway_process::implementation {
    gateway_settings configuration;
    const clock& time;
    instance_identity identity{this->make_identity()};
    std::uint64_t incarnation{incarnation_id::generate().value()};
    std::atomic<bool> stop_requested{};
    std::atomic<bool> reload_requested{};
    bool stopping{};
    time_point last_signal_check{this->time.now()};
    bool ready_before{};
    bool cpu_starved{};
    double requests_per_second{};
    double requests_before{};

    // Before all that holds requests: their bodies are given back to it.
    memory_budget body_memory{this->configuration.memory_mb * internal::bytes_per_mb / internal::body_memory_divisor};
    event_loop loop{this->time, [this](const std::exception& error) { this->log_callback_failure(error); }};
    decision_log log{"gateway", this->time, internal::max_request_log_lines_per_second};
    metrics exported_metrics{this->time};
    platform_adapter platform;
    route_table routes{};
    team_quotas quotas{this->loop, this->quota_rule(), this->configuration.ip, this->incarnation,
                       this->quota_callbacks()};
    forwarder requests{
        {this->loop, *this->platform.http_dialect, this->routes, this->exported_metrics, this->log, &this->quotas},
        this->choice_rule(),
        scheduling_rule{},
        forwarding_rule{}};
    warm_up_senders cold_target_senders{this->configuration.instance_name};
    peer_fetcher fetcher{this->loop, this->configuration.peer_port, internal::peer_fetch_timeout};
    datagram_port datagrams{this->loop, this->peer_endpoint(this->configuration.ip),
                            [this](const std::string_view ip, const std::string_view bytes) {
                                if (!this->loads.receive(ip, bytes) && !this->quotas.receive(ip, bytes)) {
                                    this->members.receive(ip, bytes);
                                }
                            }};
    fleet members{this->loop, fleet_rule{}, this->fleet_callbacks(), [this] { return this->describe_self(); },
                  [this](const std::string& ip, const peer_record& record, const std::string_view changes) {
                      this->follower.receive(ip, record, changes);
                      this->evacuations.receive(ip, record);
                  }};
    load_sharing loads{this->loop, load_sharing_rule{}, this->identity, this->load_callbacks()};
    platform_follower follower{this->follower_dependencies(), this->follow_rule()};
    evacuation_follower evacuations{this->evacuation_dependencies(), evacuation_rule{}};
    /*! @brief Targets that are not used yet, because the evacuated zones are not known. */
    std::optional<target_list> withheld_targets{};
    directory_service addresses{this->directory_dependencies(), directory_rule{}};
    peer_service peer_documents{this->follower, [this] { return this->known_instances(); }};
    async_http_server callers{this->loop,
                              this->configuration.caller_endpoint,
                              this->body_memory,
                              [this] { return request_limits(*this->routes.current()); },
                              [this](const auto& exchange) { this->requests.handle(exchange); },
                              [this](const auto& request) { return this->requests.may_overlap(request); }};
    async_http_server readiness{this->loop, this->configuration.readiness_endpoint, this->body_memory,
                                [] { return http_limits{}; },
                                [this](const auto& exchange) { this->addresses.answer_readiness(*exchange); }};
    async_http_server directory{this->loop, this->configuration.directory_endpoint, this->body_memory,
                                [] { return http_limits{}; },
                                [this](const auto& exchange) { this->addresses.answer_query(*exchange); }};
    operator_service operator_page{this->operator_dependencies()};
    async_http_server operators{this->loop, this->configuration.operator_endpoint, this->body_memory,
                                [] { return http_limits{}; },
                                [this](const auto& exchange) { this->operator_page.answer(*exchange); }};
    async_http_server peers{this->loop, this->peer_endpoint(this->configuration.ip), this->body_memory,
                            [] { return http_limits{}; },
                            [this](const auto& exchange) { this->peer_documents.answer(*exchange); }};
    port_monitor ports{this->log, this->exported_metrics, this->monitored_ports()};
    settings_reloader settings;

    implementation(gateway_settings values, std::string text, const clock& source, std::function<std::string()> reader,
                   const platform_factory& factory)
        : configuration{std::move(values)}, time{source}, platform{factory(this->loop,
                                                                           this->configuration.store_endpoint)},
          settings{this->log, std::move(text), std::move(reader),
                   [this](const gateway_settings& changed) { this->adopt(changed); }} {
        this->callers.on_rejection([this](const request_rejection& rejection) { this->log_rejection(rejection); });
        this->requests.on_load_change([this](const std::uint32_t key, const std::uint32_t in_flight) {
            this->loads.record_in_flight(key, in_flight);
        });
        this->apply_settings();
    }

    [[nodiscard]] std::string peer_endpoint(const std::string& ip) const {
        return ip + ':' + std::to_string(this->configuration.peer_port);
    }

    void send_to_peer(const std::string& ip, const std::string_view bytes) {
        this->datagrams.send(this->peer_endpoint(ip), bytes);
    }

    [[nodiscard]] std::vector<monitored_port> monitored_ports() const {
        return {{"callers", [this] { return this->callers.port_failure(); }},
                {"readiness", [this] { return this->readiness.port_failure(); }},
                {"directory", [this] { return this->directory.port_failure(); }},
                {"operators", [this] { return this->operators.port_failure(); }},
                {"peers", [this] { return this->peers.port_failure(); }},
                {"peer_datagrams", [this] { return this->datagrams.failure(); }}};
    }

    [[nodiscard]] target_choice_rule choice_rule() const {
        target_choice_rule rule{};
        rule.own_zone = this->configuration.zone;
        return rule;
    }

    [[nodiscard]] follower_rule follow_rule() const {
        follower_rule rule{};
        rule.stale_entry_lifetime = this->configuration.target_heartbeat * internal::heartbeats_per_stale_entry;
        return rule;
    }

    [[nodiscard]] platform_follower::dependencies follower_dependencies() {
        return {this->loop,
                *this->platform.store,
                this->log,
                this->incarnation,
                [this] { return this->members.reader_rank(); },
                [this] { return this->first_read_delay(); },
                [this](const std::string& ip, const std::string& path, std::function<void(std::string &&)> done) {
                    this->fetcher.fetch(ip, path, std::move(done));
                },
                [this](std::string changes) { this->members.announce(std::move(changes)); },
                [this](const routing_config& config) { this->apply_config(config); },
                [this](const target_list& list) {
                    if (this->evacuations.settled()) {
                        this->requests.update_targets(list);
                    } else {
                        this->withheld_targets = list;
                    }
                }};
    }

    [[nodiscard]] evacuation_follower::dependencies evacuation_dependencies() {
        return {this->loop,
                *this->platform.store,
                this->log,
                this->incarnation,
                [this] { return this->members.reader_rank(); },
                [this] { return this->first_read_delay(); },
                [this] { this->members.announce({}); },
                [this](const std::span<const std::string> zones) {
                    this->requests.evacuate(zones);
                    const auto withheld = std::exchange(this->withheld_targets, {});
                    if (withheld) {
                        this->requests.update_targets(*withheld);
                    }
                }};
    }

    void configure_evacuations() {
        if (this->configuration.evacuation_time) {
            this->evacuations.enable(make_evacuation_rule(*this->configuration.evacuation_time));
        } else {
            this->evacuations.disable();
        }
    }

    void apply_config(const routing_config& config) {
        if (this->routes.apply(config)) {
            this->quotas.configure(config.teams);
        }
        this->share_cold_targets();
    }

    [[nodiscard]] allowance_rule quota_rule() const {
        allowance_rule rule{};
        rule.window = std::max<duration>(this->configuration.quota_window, internal::min_quota_window);
        rule.excess = this->configuration.quota_excess;
        rule.slack = this->configuration.quota_slack;
        return rule;
    }

    [[nodiscard]] team_quotas::callbacks quota_callbacks() {
        return {[this] { return this->quota_fleet(); },
                [this](const std::string& ip, const std::string& bytes) { this->send_to_peer(ip, bytes); }};
    }

    [[nodiscard]] team_quotas::fleet_view quota_fleet() const {
        team_quotas::fleet_view view{{}, this->loads.advertised_count(), false, this->has_no_peers()};
        for (const auto& item : this->loads.advertised()) {
            if (item.ip == this->identity.ip) {
                view.own_advertised = true;
            } else {
                view.advertised_ips.push_back(item.ip);
            }
        }
        return view;
    }

    /*! @brief Returns whether neither the settings nor a message name another instance. */
    [[nodiscard]] bool has_no_peers() const {
        const auto& seeds = this->configuration.seeds;
        return this->members.members().empty() &&
               std::all_of(seeds.begin(), seeds.end(), [this](const std::string& endpoint) {
                   return internal::ip_of(endpoint) == this->configuration.ip;
               });
    }

    /*! @brief Lets one instance read for all when many start at once: the first seed, or else the one with the shortest
     * delay. */
    [[nodiscard]] duration first_read_delay() const {
        const auto& seeds = this->configuration.seeds;
        if (!seeds.empty() && internal::ip_of(seeds.front()) == this->configuration.ip) {
            return internal::seed_read_delay;
        }
        if (this->members.members().empty()) {
            return internal::lone_read_delay;
        }
        return internal::shared_read_delay +
               internal::read_delay_step * (this->incarnation % internal::read_delay_steps);
    }

    // Membership

    [[nodiscard]] bool ready() const {
        return !this->stopping && this->follower.initialized() && this->evacuations.settled() &&
               !this->callers.port_failure();
    }

    [[nodiscard]] instance_identity make_identity() const {
        constexpr double millicores_per_core = 1'000.0;
        const auto& own = this->configuration;
        return {own.instance_name,
                own.ip,
                own.zone,
                own.region,
                own.caller_endpoint,
                static_cast<std::uint32_t>(own.cpu_share * own.cpu_cores * millicores_per_core)};
    }

    [[nodiscard]] fleet::callbacks fleet_callbacks() {
        return {[this](const std::string& ip, const std::string_view bytes) { this->send_to_peer(ip, bytes); },
                [this](const std::string& ip, std::function<void(std::string &&)> done) {
                    this->fetcher.fetch(ip, "/members", std::move(done));
                }};
    }

    [[nodiscard]] peer_record describe_self() const {
        peer_record record{};
        record.incarnation = this->incarnation;
        record.identity = this->identity;
        record.ready = this->ready();
        record.cpu_starved = this->cpu_starved;
        record.requests_per_second = static_cast<std::uint32_t>(this->requests_per_second);
        this->follower.describe(record);
        this->evacuations.describe(record);
        return record;
    }

    [[nodiscard]] load_sharing::callbacks load_callbacks() {
        return {[this] { return this->members.leaders(); },
                [this](const std::string& ip, const std::string& bytes) { this->send_to_peer(ip, bytes); },
                [this](const std::uint32_t key, const std::uint32_t remote) {
                    this->requests.set_remote_in_flight(key, remote);
                },
                [this](const std::vector<instance_identity>& instances) {
                    this->log_advertised(instances);
                    this->share_cold_targets();
                }};
    }

    void log_advertised(const std::vector<instance_identity>& instances) {
        std::vector<std::string> names{};
        names.reserve(instances.size());
        for (const auto& item : instances) {
            names.push_back(item.name);
        }
        this->log.change("named_instances_changed",
                         {{"count", std::to_string(names.size())},
                          {"instances", Poco::cat(std::string{","}, names.begin(), names.end())},
                          {"own_part", internal::to_decimal(this->loads.own_share())},
                          {"own_requests_per_second", internal::to_decimal(this->requests_per_second)}});
    }

    [[nodiscard]] directory_service::dependencies directory_dependencies() {
        return {*this->platform.http_dialect, [this] { return this->ready(); },
                [this] { return this->members.leaders(); }, [this] { return this->configuration.max_address_lifetime; },
                this->first_draw()};
    }

    [[nodiscard]] double first_draw() const noexcept {
        constexpr std::uint64_t steps = 1'024U;
        return static_cast<double>(this->incarnation % steps) / static_cast<double>(steps);
    }

    [[nodiscard]] operator_service::dependencies operator_dependencies() {
        return {this->configuration.instance_name,
                this->incarnation,
                this->exported_metrics,
                this->log,
                *this->platform.store,
                this->follower,
                this->evacuations,
                this->members,
                this->requests,
                this->quotas,
                this->callers,
                this->body_memory,
                [this] { return this->ready(); },
                [this] { return this->stopping; }};
    }

    [[nodiscard]] std::vector<known_instance> known_instances() const {
        auto known = this->members.members();
        known.push_back({this->describe_self(), duration::zero()});
        return known;
    }

    /*! @brief Measures the load of this instance, which affects whether it is advertised. */
    void measure() {
        const auto refused = static_cast<double>(this->requests.over_quota());
        const auto received =
            static_cast<double>(this->requests.received()) - refused * (1.0 - internal::cost_of_quota_refusal);
        const auto rate =
            (received - this->requests_before) / std::chrono::duration<double>(internal::measure_period).count();
        this->requests_before = received;
        this->requests_per_second += (rate - this->requests_per_second) * internal::rate_weight;
        const auto lag = this->loop.lag();
        const bool now_starved = lag > (this->cpu_starved ? internal::recovered_lag : internal::starved_lag);
        if (now_starved != this->cpu_starved) {
            this->cpu_starved = now_starved;
            this->log.change("strain_changed",
                             {{"strained", now_starved ? "yes" : "no"},
                              {"lag_ms", std::to_string(std::chrono::duration_cast<milliseconds>(lag).count())}});
            this->members.introduce();
        }
    }

    // Requests

    /*! @brief Logs a request that was answered before it could be forwarded. */
    void log_rejection(const request_rejection& rejection) {
        const auto id = rejection.head == nullptr
                            ? std::string{}
                            : this->platform.http_dialect->read_request(*rejection.head).request_id;
        const auto status = std::to_string(rejection.status);
        this->log.request("request_rejected", {{"request_id", id},
                                               {"status", status},
                                               {"cause", std::string{rejection.reason}},
                                               {"previous_requests", std::to_string(rejection.previous_requests)},
                                               {"config_version", std::to_string(this->routes.current()->id.version)},
                                               {"body_memory_bytes", std::to_string(this->body_memory.reserved())}});
        this->exported_metrics.count("requests_rejected_total{status=\"" + status + "\"}");
    }

    /*! @brief Logs an exception that ended one step of the loop; the lines are bounded, since it may come again. */
    void log_callback_failure(const std::exception& error) {
        const auto* detailed = dynamic_cast<const Poco::Exception*>(&error);
        this->log.request("callback_failed", {{"cause", detailed == nullptr ? error.what() : detailed->displayText()}});
        this->exported_metrics.count("callback_failures_total");
    }

    // Settings

    void apply_settings() {
        std::vector<std::string> seeds{};
        for (const auto& endpoint : this->configuration.seeds) {
            seeds.push_back(internal::ip_of(endpoint));
        }
        this->members.set_seeds(std::move(seeds));
        this->requests.limit_hedges(this->configuration.hedge_share);
        this->share_budgets();
    }

    /*! @brief Assigns this instance its share of the budgets common to all instances. */
    void share_budgets() {
        this->requests.configure(
            {this->configuration.retry_ratio, this->configuration.retry_slack, this->configuration.retry_window},
            std::min(this->loads.advertised_count(), this->members.size()),
            this->configuration.probes_per_target * internal::usable_probe_share * this->loads.own_share());
    }

    /*! @brief Assigns this instance its share of the requests to cold targets. */
    void share_cold_targets() {
        std::vector<warm_up_senders::instance> advertised{};
        advertised.reserve(this->loads.advertised().size());
        for (const auto& item : this->loads.advertised()) {
            advertised.push_back({item.name, item.zone});
        }
        std::vector<std::string> in_contact{};
        for (const auto& member : this->members.members()) {
            in_contact.push_back(member.record.identity.name);
        }
        this->cold_target_senders.update(std::move(advertised), in_contact, this->loop.now());
        this->requests.limit_cold_targets(this->cold_target_senders);
    }

    /*! @brief Takes over the settings that can change while the process runs. */
    void adopt(const gateway_settings& changed) {
        this->configuration.seeds = changed.seeds;
        this->configuration.retry_ratio = changed.retry_ratio;
        this->configuration.retry_slack = changed.retry_slack;
        this->configuration.retry_window = changed.retry_window;
        this->configuration.hedge_share = changed.hedge_share;
        this->configuration.probes_per_target = changed.probes_per_target;
        this->configuration.stop_time = changed.stop_time;
        this->configuration.evacuation_time = changed.evacuation_time;
        this->configure_evacuations();
        this->configuration.max_address_lifetime = changed.max_address_lifetime;
        this->apply_settings();
    }

    // Lifecycle

    void watch_signals() {
        if (this->reload_requested.exchange(false)) {
            this->log.change("reload_requested", {});
            this->settings.reload();
        }
        if (this->stop_requested.load() && !this->stopping) {
            this->begin_stop();
        }
        if (this->ready() != this->ready_before) {
            this->ready_before = this->ready();
            this->log.change("readiness_changed", {{"ready", this->ready_before ? "yes" : "no"}});
            this->members.introduce();
        }
        this->last_signal_check = this->loop.now();
    }

    void begin_stop() {
        this->stopping = true;
        this->log.change("stop_requested", {{"open_requests", std::to_string(this->requests.open_requests())},
                                            {"connections", std::to_string(this->callers.connections())}});
        this->members.introduce();
        this->callers.close_after_responses();
        const auto part = [this](const double share) {
            return std::chrono::duration_cast<duration>(this->configuration.stop_time * share);
        };
        // The signal may have come right after the previous look at its flag.
        const auto kill_time = this->last_signal_check + this->configuration.stop_time;
        const auto margin = std::min(part(internal::stop_margin_share), internal::max_stop_margin);
        const auto full_admission =
            std::min(part(internal::full_admission_share_of_stop), internal::max_full_admission);
        this->requests.begin_stop({this->last_signal_check + full_admission, kill_time - margin});
        this->loop.after(part(internal::serving_share_of_stop), [this] {
            this->callers.close_idle();
            this->loop.every(internal::signal_period, [this] {
                this->callers.close_idle();
                if (this->requests.open_requests() == 0U && this->callers.busy() == 0U) {
                    this->loop.stop();
                }
            });
        });
        this->loop.after(kill_time - margin / 2 - this->loop.now(), [this] { this->loop.stop(); });
    }

    void run() {
        this->log.change("started", {{"instance", this->configuration.instance_name},
                                     {"incarnation", std::to_string(this->incarnation)},
                                     {"callers", this->configuration.caller_endpoint},
                                     {"store", this->configuration.store_endpoint}});
        this->ports.report();
        this->members.start();
        this->loads.start();
        this->quotas.start();
        this->follower.start();
        this->configure_evacuations();
        this->loop.every(internal::signal_period, [this] { this->watch_signals(); });
        this->loop.every(internal::measure_period, [this] { this->measure(); });
        this->loop.every(internal::settings_period, [this] {
            this->settings.reload();
            this->share_budgets();
            this->share_cold_targets();
        });
        this->loop.every(internal::expiry_period, [this] {
            for (auto* port : {&this->callers, &this->readiness, &this->directory, &this->operators, &this->peers}) {
                port->expire();
            }
            this->ports.report();
        });
        this->loop.run();
        this->quotas.leave();
        this->log.change("stopped", {{"open_requests", std::to_string(this->requests.open_requests())}});
    }
};

namespace internal {

namespace {

[[nodiscard]] const platform_factory& find_platform(const std::string& name) {
    const auto* factory = registry<platform_factory>::instance().find(name);
    if (factory == nullptr) {
        throw Poco::NotFoundException{"unknown platform", name};
    }
    return *factory;
}

} // namespace

} // namespace internal

gateway_process::gateway_process(gateway_settings configuration, std::string settings_text, const clock& time,
                                 std::function<std::string()> read_settings)
    : self{} {
    const auto& factory = internal::find_platform(configuration.platform);
    this->self = std::make_unique<implementation>(std::move(configuration), std::move(settings_text), time,
                                                  std::move(read_settings), factory);
}

gateway_process::~gateway_process() = default;

void gateway_process::run() {
    this->self->run();
}

void gateway_process::request_stop() noexcept {
    this->self->stop_requested = true;
}

void gateway_process::request_reload() noexcept {
    this->self->reload_requested = true;
}

} // namespace mangopulley
