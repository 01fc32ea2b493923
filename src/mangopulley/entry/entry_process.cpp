#include "entry_process.hpp"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "../catalogue/catalogue_follower.hpp"
#include "../catalogue/catalogue_holder.hpp"
#include "../catalogue/parse.hpp"
#include "../catalogue/stored_catalogue.hpp"
#include "../core/clock.hpp"
#include "../core/incarnation_id.hpp"
#include "../core/kernel.hpp"
#include "../core/periodic_task.hpp"
#include "../http/http_server.hpp"
#include "../lease/lease_manager.hpp"
#include "../limit/admission.hpp"
#include "../limit/alert_gate.hpp"
#include "../limit/share_table.hpp"
#include "../measure/prober.hpp"
#include "../membership/catalogue_freshness.hpp"
#include "../membership/drain_notices.hpp"
#include "../membership/heartbeat_service.hpp"
#include "../membership/instance_selector.hpp"
#include "../membership/member_table.hpp"
#include "../membership/task_runner.hpp"
#include "../observe/event_log.hpp"
#include "../observe/metrics.hpp"
#include "../observe/state_dump.hpp"
#include "../order/order_service.hpp"
#include "../peer/peer_server.hpp"
#include "../peer/tcp_peer_transport.hpp"
#include "../store/http_store_client.hpp"
#include "../target/http_target_client.hpp"
#include "caller_service.hpp"
#include "member_directory.hpp"
#include "order_dispatch.hpp"
#include "process_state.hpp"
#include "service_table.hpp"

namespace mangopulley {

namespace internal {

constexpr milliseconds target_connect_timeout{250};
constexpr std::size_t idle_connections_per_target = 64U;
constexpr milliseconds refresh_period{50};
constexpr milliseconds share_period{100};
constexpr milliseconds archive_period{500};
// Shares of limits need contact within this time; shorter than the 3 s after which others take a share over.
constexpr milliseconds share_contact_age{2'000};
// A target that this instance sent nothing to for this time is measured by a probe, if the budget allows one.
constexpr milliseconds idle_before_probe{5'000};
constexpr std::size_t peer_threads = 4U;
constexpr std::size_t most_waiting_peer_calls = 64U;
constexpr std::size_t operator_workers = 2U;
constexpr std::size_t cancellation_threads = 2U;

[[nodiscard]] member describe_self(const settings& configuration, const incarnation_id incarnation) {
    member self{};
    self.incarnation = incarnation;
    self.instance_name = configuration.instance_name;
    self.peer_endpoint = configuration.peer_address();
    self.caller_address = configuration.caller_address();
    self.zone = configuration.zone;
    self.region = configuration.region;
    return self;
}

[[nodiscard]] result<catalogue_document> decode_current(const std::string_view value) {
    BOOST_LEAF_AUTO(stored, decode_catalogue(catalogue_key, value));
    BOOST_LEAF_AUTO(parsed, parse_catalogue(catalogue_key, stored.text));
    parsed.version = stored.version;
    return parsed;
}

} // namespace internal

struct entry_process::implementation {
    settings configuration;
    incarnation_id incarnation{incarnation_id::generate()};
    event_log log{"entry"};
    system_clock_source time{};
    metrics numbers{this->time};
    state_dump dump{};

    http_store_client store{this->configuration.store_address, this->configuration.store_timeout};
    tcp_peer_transport peers{};
    http_target_client targets{this->time, internal::target_connect_timeout, internal::idle_connections_per_target};

    catalogue_holder catalogue{};
    member_table members{this->time, internal::describe_self(this->configuration, this->incarnation)};
    instance_selector selector{this->members};
    drain_notices draining{this->time};
    catalogue_freshness freshness{
        this->time,
        {.own_version = [this] { return this->catalogue.current()->version; },
         .contacts = [this](const time_point since) { return this->members.contacts(since); }}};
    pool_runner peer_calls{internal::peer_threads, internal::most_waiting_peer_calls};
    catalogue_follower follower{
        {this->time, this->store, this->peers, this->catalogue, this->members, this->selector, this->freshness},
        internal::decode_current};
    heartbeat_service heartbeats{{this->time, this->members, this->freshness, this->catalogue, this->follower,
                                  this->draining, this->peers, this->peer_calls},
                                 [this] { return this->demands(); },
                                 this->incarnation.value()};

    share_table shares{};
    http_alert_sender alert_outlet{this->configuration.director_endpoints};
    alert_gate alerts{this->time, this->alert_outlet, this->configuration.instance_name};
    admission limits{this->time, this->shares, this->alerts};

    cancel_pool cancellations{internal::cancellation_threads};
    service_table services{
        {this->time, this->catalogue, this->members, this->draining, this->targets, this->cancellations},
        [this](const std::string_view target) { this->heartbeats.announce_drain(target); }};

    lease_manager leases{this->time, this->store, this->incarnation, lease_timing{},
                         [] { return incarnation_id::generate().value(); }};
    prober probes{{this->time, this->targets, this->leases, this->catalogue},
                  {.is_primary = [this](const std::string_view service) { return this->is_primary(service); },
                   .idle_targets = [this](const std::string_view service) { return this->idle_targets(service); },
                   .report = [this](const std::string_view service, const std::string_view endpoint,
                                    const load_report& load) { this->take_probe(service, endpoint, load); }}};

    member_directory directory{this->members, this->selector};
    freshness_store_status store_state{this->freshness};
    order_dispatch order_targets{this->catalogue, this->services};
    ledger records{this->time, ledger_limits{}};
    witness_table witnesses{this->time, witness_limits{}};
    order_archive archive{this->incarnation, this->time, this->store, archive_limits{}};
    order_service orders{this->incarnation,
                         {&this->time, &this->peers, &this->store, &this->directory, &this->order_targets,
                          &this->store_state, &this->records, &this->witnesses, &this->archive},
                         order_timing{}};

    caller_service callers{{this->time, this->catalogue, this->selector, this->members, this->freshness, this->limits,
                            this->alerts, this->store_state, this->services, this->orders, this->numbers}};
    peer_server peer_port{this->configuration.peer_address()};
    http_server caller_port{"caller_port", this->configuration.caller_address(), this->configuration.workers,
                            http_limits{}, [this](http_request&& request) { return this->callers.handle(request); }};
    http_server operator_port{"operator_port", this->configuration.operator_address(), internal::operator_workers,
                              http_limits{}, [this](http_request&& request) { return this->operate(request); }};
    periodic_task refresher{"service_refresh", internal::refresh_period, [this] { this->refresh(); }};
    periodic_task sharer{"share_update", internal::share_period, [this] { this->update_shares(); }};
    periodic_task archiver{"order_archive", internal::archive_period, [this] { this->archive.write_if_due(); }};
    /*! @brief Plug-ins in the order of their start; they are members above, so none is owned here. */
    std::vector<plugin*> order_of_start{&this->alerts,     &this->cancellations, &this->peer_port,  &this->follower,
                                        &this->heartbeats, &this->refresher,     &this->sharer,     &this->archiver,
                                        &this->probes,     &this->operator_port, &this->caller_port};
    std::size_t started{};
    std::uint64_t tick_gaps{};
    std::mutex leaving_guard{};
    std::condition_variable leaving_over{};

    explicit implementation(settings values) : configuration{std::move(values)} {
        this->connect_peer_messages();
        this->follower.on_advance([this] {
            this->refresh();
            this->heartbeats.push();
        });
        this->add_state_sections();
        this->add_gauges();
    }

    /*! @brief Lets a member function of a part answer a type of message. */
    template <typename Part, typename Handler>
    void answer(const message_type type, Part& part, const Handler action) {
        this->peer_port.handle(type, [&part, action](const std::string_view body) { return (part.*action)(body); });
    }

    void connect_peer_messages() {
        this->answer(message_type::heartbeat, this->heartbeats, &heartbeat_service::on_heartbeat);
        this->answer(message_type::member_pull, this->heartbeats, &heartbeat_service::on_member_pull);
        this->answer(message_type::catalogue_pull, this->heartbeats, &heartbeat_service::on_catalogue_pull);
        this->answer(message_type::instances_pull, this->heartbeats, &heartbeat_service::on_instances_pull);
        this->answer(message_type::drain_notice, this->heartbeats, &heartbeat_service::on_drain_notice);
        this->answer(message_type::order_note, this->orders, &order_service::on_note);
        this->answer(message_type::order_seal, this->orders, &order_service::on_seal);
        this->answer(message_type::order_forward, this->orders, &order_service::on_forward);
        this->answer(message_type::order_query, this->orders, &order_service::on_query);
        this->answer(message_type::order_outcomes, this->orders, &order_service::on_outcomes);
    }

    /*! @brief Puts a new catalogue and instance list in force and states whether callers may be sent here. */
    void refresh() {
        this->services.refresh();
        this->warn_of_store_outage();
        this->members.set_serving(this->freshness.serving());
    }

    /*! @brief Alerts the director before orders of services that require the store are refused. */
    void warn_of_store_outage() {
        const auto document = this->catalogue.current();
        if (document->version == 0U || !this->store_state.in_outage()) {
            return;
        }
        for (const auto& service : document->services) {
            if (service.refuse_orders_without_store) {
                this->alerts.raise(service.name, limit_kind::store_required, "the store is out");
            }
        }
    }

    [[nodiscard]] std::vector<service_demand> demands() const {
        std::vector<service_demand> all{};
        for (const auto& usage : this->limits.describe()) {
            if (usage.requests_per_second > 0.0) {
                all.push_back({service_hash(usage.service), usage.requests_per_second});
            }
        }
        std::sort(all.begin(), all.end(), [](const service_demand& left, const service_demand& right) {
            return left.requests_per_second > right.requests_per_second;
        });
        return all;
    }

    /*! @brief Tells whether callers of a service are sent to this instance first. */
    [[nodiscard]] bool is_primary(const std::string_view service) const {
        return this->selector.primary_of(service) == this->incarnation;
    }

    [[nodiscard]] std::vector<std::string> idle_targets(const std::string_view service) const {
        std::vector<std::string> endpoints{};
        if (const auto runtime = this->services.find(service)) {
            for (const auto& target : runtime->requests().idle_targets(internal::idle_before_probe)) {
                endpoints.push_back(target.endpoint);
            }
        }
        return endpoints;
    }

    void take_probe(const std::string_view service, const std::string_view endpoint, const load_report& load) {
        const auto runtime = this->services.find(service);
        if (!runtime) {
            return;
        }
        const auto listed = this->members.targets_of(service);
        for (const auto& target : *listed) {
            if (target.address == endpoint) {
                runtime->requests().report(target.id, load);
            }
        }
    }

    void update_shares() {
        const auto gaps_now = this->freshness.tick_gaps();
        if (gaps_now != this->tick_gaps) {
            this->tick_gaps = gaps_now;
            this->shares.drop_all();
        }
        std::map<std::uint32_t, double> others{};
        for (const auto& instance : this->heartbeats.demands()) {
            for (const auto& item : instance.demands) {
                others[item.service] += item.requests_per_second;
            }
        }
        std::map<std::string, double, std::less<>> own{};
        for (const auto& usage : this->limits.describe()) {
            own[usage.service] = usage.requests_per_second;
        }
        const auto contact = this->freshness.age_of_contact();
        // Held by name: a temporary in the loop's range would be gone before the first step.
        const auto document = this->catalogue.current();
        for (const auto& service : document->services) {
            demand_view view{};
            view.own = own[service.name];
            view.others = others[service_hash(service.name)];
            view.limit = service.limits.requests_per_second;
            view.instances = this->members.live().size();
            view.in_contact = contact && *contact <= internal::share_contact_age;
            this->shares.update(service.name, view);
            if (const auto runtime = this->services.find(service.name)) {
                runtime->requests().expect_remote_requests(view.others > 0.0);
            }
        }
    }

    [[nodiscard]] http_reply operate(const http_request& request) {
        http_reply reply{};
        if (request.path == "/state") {
            reply.body = this->dump.text();
        } else if (request.path == "/metrics") {
            reply.content_type = "text/plain; version=0.0.4";
            reply.body = this->numbers.text();
        } else if (request.path == "/healthz") {
            const bool serving = this->freshness.serving();
            reply.status = serving ? 200 : 503;
            reply.content_type = "text/plain";
            reply.body = serving ? "serving\n" : "not serving\n";
        } else {
            reply.status = 404;
            reply.content_type = "text/plain";
            reply.body = "paths: /state /metrics /healthz\n";
        }
        return reply;
    }

    void add_state_sections() {
        this->dump.add("instance", [this] { return describe_instance(this->configuration, this->members.self()); });
        this->dump.add("catalogue", [this] { return describe_catalogue(this->catalogue, this->freshness); });
        this->dump.add("members", [this] { return nlohmann::json::parse(this->members.describe()); });
        this->dump.add("services", [this] { return describe_services(this->services); });
        this->dump.add("limits", [this] { return describe_limits(this->limits, this->shares, this->alerts); });
        this->dump.add("orders", [this] { return describe_orders(this->records, this->witnesses, this->archive); });
        this->dump.add("ports", [this] { return describe_ports(this->caller_port, this->operator_port); });
        this->dump.add("control", [this] { return describe_control(this->store, this->peers, this->peer_port); });
    }

    void add_gauges() {
        this->numbers.gauge("catalogue_version",
                            [this] { return static_cast<double>(this->catalogue.current()->version); });
        this->numbers.gauge("serving", [this] { return this->freshness.serving() ? 1.0 : 0.0; });
        this->numbers.gauge("live_instances", [this] { return static_cast<double>(this->members.live().size()); });
        this->numbers.gauge("peer_bytes_sent", [this] {
            return static_cast<double>(this->peers.counts().sent + this->peer_port.bytes_sent());
        });
        this->numbers.gauge("probes_sent", [this] { return static_cast<double>(this->probes.sent()); });
        this->numbers.gauge("undecodable_catalogues",
                            [this] { return static_cast<double>(this->follower.decode_failures()); });
        this->numbers.gauge("store_calls", [this] {
            const auto counts = this->store.counts();
            return static_cast<double>(counts.reads + counts.writes + counts.watches);
        });
    }
};

entry_process::entry_process(settings configuration)
    : self{std::make_unique<implementation>(std::move(configuration))} {}

entry_process::~entry_process() {
    this->stop();
}

void entry_process::start() {
    auto& state = *this->self;
    for (auto* part : state.order_of_start) {
        part->start();
        ++state.started;
    }
    state.log.write(log_level::info, "started",
                    {{"instance", state.configuration.instance_name},
                     {"incarnation", state.incarnation.to_string()},
                     {"caller_address", state.configuration.caller_address()}});
}

void entry_process::leave(const milliseconds linger) {
    auto& state = *this->self;
    state.log.write(log_level::info, "leaving", {{"linger_ms", std::to_string(linger.count())}});
    state.heartbeats.announce_leaving();
    std::unique_lock lock{state.leaving_guard};
    state.leaving_over.wait_for(lock, linger, [] { return false; });
}

void entry_process::stop() noexcept {
    auto& state = *this->self;
    if (state.started == 0U) {
        return;
    }
    state.orders.drain();
    state.caller_port.stop();
    state.archiver.stop();
    const auto handed = state.orders.shut_down();
    state.log.write(log_level::info, "orders_handed_over",
                    {{"archived", handed.archived ? "true" : "false"},
                     {"handed_over", std::to_string(handed.handed_over)},
                     {"lost", std::to_string(handed.lost)}});
    state.services.stop();
    for (; state.started > 0U; --state.started) {
        state.order_of_start[state.started - 1U]->stop();
    }
    state.log.write(log_level::info, "stopped", {{"instance", state.configuration.instance_name}});
}

} // namespace mangopulley
