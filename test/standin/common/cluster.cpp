#include "cluster.hpp"

#include <fstream>
#include <map>
#include <stdexcept>
#include <utility>

#include "free_ports.hpp"
#include "temporary_folder.hpp"
#include "wait_until.hpp"

namespace standin {

namespace {

// Longest time until a started entry process has the instance list of the store.
constexpr std::chrono::milliseconds list_limit{10'000};

/*! @brief Ports of an entry process and what leads from it to the store and the other processes. */
struct entry_plan {
    std::string id{};
    std::string zone{};
    std::uint16_t caller_port{};
    std::uint16_t operator_port{};
    std::uint16_t peer_port{};
    std::uint16_t view_port{};
    std::string store_address{};
    std::unique_ptr<standin_program> store_link{};
    std::map<std::size_t, std::unique_ptr<standin_program>> peer_links{};
    std::unique_ptr<process> program{};
};

struct target_plan {
    std::filesystem::path journal{};
    std::unique_ptr<standin_program> program{};
};

} // namespace

struct cluster::implementation {
    cluster_options options;
    temporary_folder folder{};
    std::unique_ptr<standin_program> store{};
    std::unique_ptr<standin_program> director{};
    std::map<std::string, std::vector<target_plan>, std::less<>> targets{};
    std::vector<entry_plan> entries{};
    nlohmann::json instances = nlohmann::json::array();
    std::size_t runs{};

    explicit implementation(cluster_options given) : options{std::move(given)} {
        this->plan_entries();
        this->start_store();
        this->director = this->start("director", {});
        this->start_targets();
        if (this->options.link_peers) {
            this->start_peer_links();
        }
        this->publish();
    }

    [[nodiscard]] std::unique_ptr<standin_program> start(const std::string& name,
                                                         const std::vector<std::string>& arguments) const {
        return std::make_unique<standin_program>(this->options.binary_folder, name, arguments, this->folder.path());
    }

    [[nodiscard]] const std::string& zone(const std::size_t index) const {
        return this->options.zones.at(index % this->options.zones.size());
    }

    void add_instance(const std::string& id, const char* role, const std::string& service, const std::string& address,
                      const std::string& zone) {
        this->instances.push_back({{"id", id},
                                   {"role", role},
                                   {"service", service},
                                   {"address", address},
                                   {"zone", zone},
                                   {"region", this->options.region},
                                   {"state", "live"}});
    }

    void plan_entries() {
        for (std::size_t index = 0U; index < this->options.entries; ++index) {
            const auto ports = free_ports(4U);
            auto& entry = this->entries.emplace_back();
            entry.id = "entry-" + std::to_string(index);
            entry.zone = this->zone(index);
            entry.caller_port = ports[0U];
            entry.operator_port = ports[1U];
            entry.peer_port = ports[2U];
            entry.view_port = ports[3U];
            this->add_instance(entry.id, "entry", "", loopback(entry.peer_port), entry.zone);
        }
    }

    void start_store() {
        auto arguments = this->options.store_arguments;
        arguments.insert(arguments.end(), {"--seed", std::to_string(this->options.seed)});
        for (const auto& entry : this->entries) {
            arguments.insert(arguments.end(), {"--view-port", std::to_string(entry.view_port)});
        }
        this->store = this->start("store", arguments);
        for (auto& entry : this->entries) {
            entry.store_address = loopback(entry.view_port);
            if (this->options.link_store) {
                entry.store_link = this->start_link(entry.store_address);
                entry.store_address = entry.store_link->address();
            }
        }
    }

    [[nodiscard]] std::unique_ptr<standin_program> start_link(const std::string& to) const {
        return this->start("fault_proxy", {"--to", to, "--seed", std::to_string(this->options.seed)});
    }

    void start_targets() {
        for (const auto& service : this->options.services) {
            auto& plans = this->targets[service.name];
            for (std::size_t index = 0U; index < service.targets; ++index) {
                const auto id = service.name + '-' + std::to_string(index);
                auto& plan = plans.emplace_back();
                plan.journal = this->folder.path() / (id + ".journal");
                auto arguments = service.arguments;
                arguments.insert(arguments.end(), {"--service", service.name, "--journal", plan.journal.string()});
                arguments.insert(arguments.end(), {"--seed", std::to_string(this->options.seed + index)});
                plan.program = this->start("target", arguments);
                this->add_instance(id, "target", service.name, plan.program->address(), this->zone(index));
            }
        }
    }

    void start_peer_links() {
        nlohmann::json views = nlohmann::json::object();
        for (std::size_t from = 0U; from < this->entries.size(); ++from) {
            nlohmann::json view = nlohmann::json::object();
            for (std::size_t to = 0U; to < this->entries.size(); ++to) {
                if (from != to) {
                    const auto address = loopback(this->entries[to].peer_port);
                    auto& link = this->entries[from].peer_links[to];
                    link = this->start_link(address);
                    view[address] = link->address();
                }
            }
            views[std::to_string(this->entries[from].view_port)] = std::move(view);
        }
        control(this->store->address(), "/control/views", views);
    }

    /*! @brief Cuts all links between entry processes in the given directions; does nothing without `link_peers`. */
    void cut_all_peer_links(const char* directions) const {
        for (const auto& entry : this->entries) {
            for (const auto& [to, link] : entry.peer_links) {
                control(link->control_address(), "/control", {{"cut", directions}});
            }
        }
    }

    void publish() const { control(this->store->address(), "/control/instances", this->instances); }

    [[nodiscard]] std::filesystem::path write_settings(const entry_plan& entry) const {
        // JSON is YAML, and its strings need no further quoting.
        const nlohmann::json settings{
            {"instance",
             {{"name", entry.id},
              {"ip", "127.0.0.1"},
              {"caller_port", entry.caller_port},
              {"operator_port", entry.operator_port},
              {"peer_port", entry.peer_port},
              {"zone", entry.zone},
              {"region", this->options.region}}},
            {"store", {{"address", entry.store_address}, {"timeout_ms", this->options.store_timeout.count()}}},
            {"director", {{"endpoints", {"http://" + this->director->address() + "/alerts"}}}},
            {"log", {{"level", this->options.log_level}}},
            {"workers", this->options.workers}};
        auto path = this->folder.path() / (entry.id + ".yaml");
        std::ofstream{path} << settings.dump(2) << '\n';
        return path;
    }

    [[nodiscard]] const target_plan& target(const std::string_view service, const std::size_t index) const {
        const auto position = this->targets.find(service);
        if (position == this->targets.end()) {
            throw std::runtime_error{"no service " + std::string{service}};
        }
        return position->second.at(index);
    }
};

cluster::cluster(cluster_options options) : self{std::make_unique<implementation>(std::move(options))} {}

cluster::~cluster() = default;

void cluster::start_entries() {
    // The addresses in the list differ between instances: each is led through proxies of its own. An instance that
    // hears a peer before the store answers pulls the peer's list, and faults of its own proxies would not affect it.
    this->self->cut_all_peer_links("both");
    for (std::size_t index = 0U; index < this->self->entries.size(); ++index) {
        this->start_entry(index);
    }
    for (std::size_t index = 0U; index < this->self->entries.size() && this->self->options.link_peers; ++index) {
        const auto has_list = [&] {
            const auto state = this->state(index);
            const bool read = state.is_object() && state.at("members").at("revision") != 0U;
            return read || !this->entry(index).running();
        };
        if (!wait_until(has_list, list_limit, std::chrono::milliseconds{10})) {
            throw std::runtime_error{"entry process without instance list: " + this->entry(index).output()};
        }
    }
    this->self->cut_all_peer_links("none");
}

void cluster::start_entry(const std::size_t index) {
    auto& entry = this->self->entries.at(index);
    const auto settings = this->self->write_settings(entry);
    const auto output = entry.id + '-' + std::to_string(this->self->runs++) + ".out";
    entry.program.reset();
    entry.program = std::make_unique<process>(this->self->options.binary_folder / "mangopulley",
                                              std::vector<std::string>{"entry", "--settings", settings.string()},
                                              this->self->folder.path() / output);
}

bool cluster::wait_healthy(const std::size_t index, const std::chrono::milliseconds limit) {
    const auto healthy = [&] {
        return http_get(this->operator_address(index), "/healthz").status == 200 || !this->entry(index).running();
    };
    return wait_until(healthy, limit, std::chrono::milliseconds{10}) && this->entry(index).running();
}

command_result cluster::run(const std::vector<std::string>& arguments, const std::chrono::milliseconds limit) {
    const auto output = "command-" + std::to_string(this->self->runs++) + ".out";
    process program{this->self->options.binary_folder / "mangopulley", arguments, this->self->folder.path() / output};
    const auto code = program.wait_exit(limit);
    return {code, program.output()};
}

std::size_t cluster::entries() const noexcept {
    return this->self->entries.size();
}

process& cluster::entry(const std::size_t index) {
    auto& program = this->self->entries.at(index).program;
    if (!program) {
        throw std::runtime_error{"entry process not started"};
    }
    return *program;
}

standin_program& cluster::target(const std::string_view service, const std::size_t index) {
    return *this->self->target(service, index).program;
}

standin_program& cluster::store() {
    return *this->self->store;
}

standin_program& cluster::director() {
    return *this->self->director;
}

const std::filesystem::path& cluster::folder() const noexcept {
    return this->self->folder.path();
}

std::string cluster::entry_id(const std::size_t index) const {
    return this->self->entries.at(index).id;
}

std::string cluster::target_id(const std::string_view service, const std::size_t index) const {
    return std::string{service} + '-' + std::to_string(index);
}

std::string cluster::caller_address(const std::size_t index) const {
    return loopback(this->self->entries.at(index).caller_port);
}

std::string cluster::operator_address(const std::size_t index) const {
    return loopback(this->self->entries.at(index).operator_port);
}

std::string cluster::store_address(const std::size_t index) const {
    return this->self->entries.at(index).store_address;
}

std::string cluster::peer_address(const std::size_t index) const {
    return loopback(this->self->entries.at(index).peer_port);
}

http_result cluster::request(const std::size_t entry, const std::string& service, const std::string& kind,
                             const std::string_view body, const http_options& options) const {
    return http_post(this->caller_address(entry), "/v1/services/" + service + "/kinds/" + kind, body, options);
}

nlohmann::json cluster::state(const std::size_t entry) const {
    return http_get(this->operator_address(entry), "/state").json();
}

void cluster::set_instance_state(const std::string& id, const std::string& state) {
    for (auto& instance : this->self->instances) {
        if (instance.at("id") == id) {
            instance["state"] = state;
        }
    }
    this->self->publish();
}

void cluster::remove_instance(const std::string& id) {
    auto kept = nlohmann::json::array();
    for (const auto& instance : this->self->instances) {
        if (instance.at("id") != id) {
            kept.push_back(instance);
        }
    }
    this->self->instances = std::move(kept);
    this->self->publish();
}

void cluster::set_store_faults(const nlohmann::json& faults) {
    control(this->self->store->address(), "/control/faults", faults);
}

void cluster::set_store_link(const std::size_t entry, const nlohmann::json& faults) {
    const auto& link = this->self->entries.at(entry).store_link;
    if (!link) {
        throw std::runtime_error{"cluster without store links"};
    }
    control(link->control_address(), "/control", faults);
}

void cluster::set_peer_link(const std::size_t from, const std::size_t to, const nlohmann::json& faults) {
    control(this->self->entries.at(from).peer_links.at(to)->control_address(), "/control", faults);
}

void cluster::set_partition(const std::vector<std::size_t>& one, const std::vector<std::size_t>& other,
                            const nlohmann::json& faults) {
    for (const auto from : one) {
        for (const auto to : other) {
            this->set_peer_link(from, to, faults);
            this->set_peer_link(to, from, faults);
        }
    }
}

void cluster::set_target(const std::string_view service, const std::size_t index, const nlohmann::json& behaviour) {
    control(this->target(service, index).address(), "/control", behaviour);
}

nlohmann::json cluster::store_counts() const {
    return read_json(this->self->store->address(), "/control/counts");
}

nlohmann::json cluster::target_counts(const std::string_view service, const std::size_t index) const {
    return read_json(this->self->target(service, index).program->address(), "/control/counts");
}

std::vector<nlohmann::json> cluster::journal(const std::string_view service) const {
    std::vector<nlohmann::json> events{};
    const auto position = this->self->targets.find(service);
    if (position == this->self->targets.end()) {
        throw std::runtime_error{"no service " + std::string{service}};
    }
    for (const auto& plan : position->second) {
        std::ifstream file{plan.journal};
        for (std::string line{}; std::getline(file, line);) {
            events.push_back(nlohmann::json::parse(line));
        }
    }
    return events;
}

nlohmann::json cluster::alerts() const {
    return read_json(this->self->director->address(), "/control/alerts");
}

} // namespace standin
