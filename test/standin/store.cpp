#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

#include "common/call_rate.hpp"
#include "common/event_loop.hpp"
#include "common/http_server.hpp"
#include "common/loop_thread.hpp"
#include "common/program.hpp"
#include "common/stop_signal.hpp"

namespace standin {

namespace {

constexpr std::size_t largest_value = 1'048'576U;
constexpr std::string_view object_prefix = "/v1/objects/";
using connection_pointer = std::shared_ptr<http_connection>;

[[nodiscard]] std::string quoted(const std::uint64_t version) {
    return '"' + std::to_string(version) + '"';
}

struct store_settings {
    std::uint16_t port{};
    std::uint64_t seed{};
    std::size_t read_rate{};
    std::size_t write_rate{};
    std::chrono::milliseconds list_lag{};
    std::vector<std::uint16_t> view_ports{};
};

struct stored_value {
    std::string body{};
    std::uint64_t version{};
};

struct call_counts {
    std::uint64_t reads{};
    std::uint64_t writes{};
    std::uint64_t watches{};
    std::uint64_t lists{};
    std::uint64_t instances{};
    std::uint64_t conflicts{};
    std::uint64_t rejected{};
    std::uint64_t lost_replies{};
};

/*! @brief Faults to show; see docs/md/standin.md. */
struct store_faults {
    bool down{};
    bool hang{};
    std::uint64_t delay_ms{};
    std::uint64_t reply_delay_ms{};
    std::uint64_t jitter_ms{};
    std::uint64_t lose_reply{};
};

/*! @brief The platform's store; all functions run in the thread of the loop. */
class store {
public:
    store(event_loop& serving, const store_settings& given)
        : loop{serving}, settings{given}, reads{given.read_rate}, writes{given.write_rate}, random{given.seed} {
        this->listen(given.port);
        for (const auto port : given.view_ports) {
            this->listen(port);
        }
    }

private:
    struct waiting_watch {
        std::uint64_t after{};
        connection_pointer connection{};
        event_loop::timer_id timer{};
        std::uint16_t port{};
    };
    using watch_list = std::list<waiting_watch>;
    struct route {
        std::string_view method;
        std::string_view path;
        void (store::*action)(const http_request&, const connection_pointer&);
    };

    void listen(const std::uint16_t port) {
        this->servers.push_back(
            std::make_unique<http_server>(this->loop, port, http_server_options{},
                                          [this](http_request request, const connection_pointer& connection) {
                                              this->handle(std::move(request), connection);
                                          }));
    }

    void handle(http_request request, const connection_pointer& connection) {
        if (request.path.starts_with("/control/")) {
            try {
                this->dispatch(request, connection);
            } catch (const nlohmann::json::exception& error) {
                connection->respond({400, error.what(), "text/plain", {}});
            }
            return;
        }
        if (this->faults.down) {
            connection->close();
            return;
        }
        if (this->faults.hang) {
            this->held.emplace_back(std::move(request), connection);
            return;
        }
        auto delay = std::chrono::milliseconds{this->faults.delay_ms};
        if (this->faults.jitter_ms > 0U) {
            delay += std::chrono::milliseconds{this->random() % (this->faults.jitter_ms + 1U)};
        }
        if (delay.count() > 0) {
            this->loop.after(delay,
                             [this, request = std::move(request), connection] { this->dispatch(request, connection); });
        } else {
            this->dispatch(request, connection);
        }
    }

    void dispatch(const http_request& request, const connection_pointer& connection) {
        static constexpr route routes[] = {
            {"GET", "/v1/list", &store::list_objects},
            {"GET", "/v1/instances", &store::get_instances},
            {"PUT", "/control/instances", &store::set_instances},
            {"PUT", "/control/faults", &store::set_faults},
            {"PUT", "/control/views", &store::set_views},
            {"GET", "/control/counts", &store::get_counts},
        };
        for (const auto& entry : routes) {
            if (request.method == entry.method && request.path == entry.path) {
                (this->*entry.action)(request, connection);
                return;
            }
        }
        if (request.path.starts_with(object_prefix) && request.path.size() > object_prefix.size()) {
            if (request.method == "GET") {
                this->get_object(request, connection);
                return;
            }
            if (request.method == "PUT") {
                this->put_object(request, connection);
                return;
            }
        }
        connection->respond({404, {}, "text/plain", {}});
    }

    [[nodiscard]] bool admit(call_rate& rate, const connection_pointer& connection) {
        if (rate.admit(event_loop::clock_type::now())) {
            return true;
        }
        ++this->counts.rejected;
        this->reply(connection, {429, {}, "text/plain", {}});
        return false;
    }

    void reply(const connection_pointer& connection, http_response response) {
        if (this->faults.reply_delay_ms > 0U) {
            this->loop.after(std::chrono::milliseconds{this->faults.reply_delay_ms},
                             [connection, response = std::move(response)] { connection->respond(response); });
        } else {
            connection->respond(response);
        }
    }

    void reply_object(const connection_pointer& connection, const stored_value& object) {
        this->reply(connection, {200, object.body, "application/octet-stream", {{"ETag", quoted(object.version)}}});
    }

    void get_object(const http_request& request, const connection_pointer& connection) {
        const auto key = request.path.substr(object_prefix.size());
        const bool watch = request.query.contains("after");
        ++(watch ? this->counts.watches : this->counts.reads);
        if (!this->admit(this->reads, connection)) {
            return;
        }
        const auto position = this->objects.find(key);
        if (!watch) {
            if (position == this->objects.end()) {
                this->reply(connection, {404, {}, "text/plain", {}});
            } else {
                this->reply_object(connection, position->second);
            }
            return;
        }
        const auto after = request.number("after", 0U);
        if (position != this->objects.end() && position->second.version > after) {
            this->reply_object(connection, position->second);
            return;
        }
        this->wait(this->object_watches[key], request, connection);
    }

    void wait(watch_list& watches, const http_request& request, const connection_pointer& connection) {
        const auto wait_ms = request.number("wait_ms", 0U);
        if (wait_ms == 0U) {
            this->reply(connection, {304, {}, {}, {}});
            return;
        }
        this->reads.begin_wait();
        const auto entry = watches.insert(watches.end(), {request.number("after", 0U), connection, 0U, request.port});
        const auto end = [this, &watches, entry] {
            this->loop.cancel(entry->timer);
            this->reads.end_wait(event_loop::clock_type::now());
            watches.erase(entry);
        };
        entry->timer = this->loop.after(std::chrono::milliseconds{wait_ms}, [this, connection, end] {
            end();
            connection->on_closed(nullptr);
            this->reply(connection, {304, {}, {}, {}});
        });
        connection->on_closed(end);
    }

    template <typename Reply>
    void wake(watch_list& watches, const std::uint64_t version, const Reply& answer) {
        for (auto entry = watches.begin(); entry != watches.end();) {
            if (entry->after >= version) {
                ++entry;
                continue;
            }
            const auto watch = *entry;
            this->loop.cancel(entry->timer);
            this->reads.end_wait(event_loop::clock_type::now());
            entry = watches.erase(entry);
            watch.connection->on_closed(nullptr);
            answer(watch);
        }
    }

    void put_object(const http_request& request, const connection_pointer& connection) {
        const auto key = request.path.substr(object_prefix.size());
        ++this->counts.writes;
        if (!this->admit(this->writes, connection)) {
            return;
        }
        const auto if_match = request.headers.get("If-Match", "");
        const bool create = request.headers.get("If-None-Match", "") == "*";
        if (if_match.empty() != create) {
            this->reply(connection, {428, {}, "text/plain", {}});
            return;
        }
        if (request.body.size() > largest_value) {
            this->reply(connection, {413, {}, "text/plain", {}});
            return;
        }
        const auto position = this->objects.find(key);
        const bool present = position != this->objects.end();
        if (create ? present : !present || if_match != quoted(position->second.version)) {
            ++this->counts.conflicts;
            this->reply(connection, {412, {}, "text/plain", {}});
            return;
        }
        const auto& object = this->objects[key] = {request.body, ++this->last_version};
        if (this->faults.lose_reply > 0U) {
            --this->faults.lose_reply;
            ++this->counts.lost_replies;
            connection->close();
        } else {
            this->reply(connection, {200, {}, "text/plain", {{"ETag", quoted(object.version)}}});
        }
        this->wake(this->object_watches[key], object.version,
                   [&](const waiting_watch& watch) { this->reply_object(watch.connection, object); });
    }

    void list_objects(const http_request& request, const connection_pointer& connection) {
        ++this->counts.lists;
        if (!this->admit(this->reads, connection)) {
            return;
        }
        const auto prefix = request.query.find("prefix");
        auto found = nlohmann::json::array();
        for (const auto& [key, object] : this->objects) {
            if (prefix == request.query.end() || key.starts_with(prefix->second)) {
                found.push_back({{"key", key}, {"version", object.version}});
            }
        }
        this->reply(connection, {200, found.dump()});
    }

    void reply_instances(const std::uint16_t port, const connection_pointer& connection) {
        auto instances = this->visible;
        if (const auto view = this->views.find(std::to_string(port)); view != this->views.end()) {
            for (auto& instance : instances) {
                const std::string address = instance.value("address", "");
                instance["address"] = view->value(address, address);
            }
        }
        this->reply(
            connection,
            {200, nlohmann::json{{"revision", this->visible_revision}, {"instances", std::move(instances)}}.dump()});
    }

    // Sets what addresses readers on one port see, so that a test can lead each reader through proxies of its own.
    void set_views(const http_request& request, const connection_pointer& connection) {
        auto json = nlohmann::json::parse(request.body, nullptr, false);
        if (!json.is_object()) {
            connection->respond({400, {}, "text/plain", {}});
            return;
        }
        this->views = std::move(json);
        connection->respond({200, "{}"});
    }

    void get_instances(const http_request& request, const connection_pointer& connection) {
        ++this->counts.instances;
        if (!this->admit(this->reads, connection)) {
            return;
        }
        const auto after = request.number("after", 0U);
        if (!request.query.contains("after") || this->visible_revision > after) {
            this->reply_instances(request.port, connection);
            return;
        }
        this->wait(this->instance_watches, request, connection);
    }

    void set_instances(const http_request& request, const connection_pointer& connection) {
        auto instances = nlohmann::json::parse(request.body, nullptr, false);
        if (!instances.is_array()) {
            connection->respond({400, {}, "text/plain", {}});
            return;
        }
        const auto revision = ++this->last_revision;
        const auto show = [this, revision, instances = std::move(instances)] {
            this->visible_revision = revision;
            this->visible = instances;
            this->wake(this->instance_watches, revision,
                       [this](const waiting_watch& watch) { this->reply_instances(watch.port, watch.connection); });
        };
        if (this->settings.list_lag.count() > 0) {
            this->loop.after(this->settings.list_lag, show);
        } else {
            show();
        }
        connection->respond({200, nlohmann::json{{"revision", revision}}.dump()});
    }

    void set_faults(const http_request& request, const connection_pointer& connection) {
        const auto json = nlohmann::json::parse(request.body, nullptr, false);
        if (!json.is_object()) {
            connection->respond({400, {}, "text/plain", {}});
            return;
        }
        this->faults.down = json.value("down", this->faults.down);
        this->faults.hang = json.value("hang", this->faults.hang);
        this->faults.delay_ms = json.value("delay_ms", this->faults.delay_ms);
        this->faults.reply_delay_ms = json.value("reply_delay_ms", this->faults.reply_delay_ms);
        this->faults.jitter_ms = json.value("jitter_ms", this->faults.jitter_ms);
        this->faults.lose_reply = json.value("lose_reply", this->faults.lose_reply);
        connection->respond({200, "{}"});
        if (this->faults.down) {
            for (const auto& server : this->servers) {
                server->close_all_but(connection.get());
            }
        }
        if (!this->faults.hang) {
            // Held writes take effect now even when their clients have given up, as on a store that was stalled.
            for (const auto& [waiting, client] : std::exchange(this->held, {})) {
                this->handle(waiting, client);
            }
        }
    }

    void get_counts(const http_request& /*request*/, const connection_pointer& connection) {
        connection->respond({200, nlohmann::json{{"reads", this->counts.reads},
                                                 {"writes", this->counts.writes},
                                                 {"watches", this->counts.watches},
                                                 {"lists", this->counts.lists},
                                                 {"instances", this->counts.instances},
                                                 {"waiting", this->reads.waiting_watches()},
                                                 {"conflicts", this->counts.conflicts},
                                                 {"rejected", this->counts.rejected},
                                                 {"lost_replies", this->counts.lost_replies},
                                                 {"held", this->held.size()}}
                                      .dump()});
    }

    event_loop& loop;
    store_settings settings;
    call_rate reads;
    call_rate writes;
    std::mt19937_64 random;
    std::map<std::string, stored_value, std::less<>> objects{};
    std::uint64_t last_version{};
    std::map<std::string, watch_list, std::less<>> object_watches{};
    watch_list instance_watches{};
    nlohmann::json visible = nlohmann::json::array();
    std::uint64_t visible_revision{};
    std::uint64_t last_revision{};
    store_faults faults{};
    call_counts counts{};
    std::vector<std::pair<http_request, connection_pointer>> held{};
    nlohmann::json views = nlohmann::json::object();
    std::vector<std::unique_ptr<http_server>> servers{};
};

void run_store(int argc, char** argv) {
    TCLAP::CmdLine command{"Stand-in for the platform's object store", ' ', "1"};
    command.setExceptionHandling(false);
    TCLAP::ValueArg<std::uint16_t> port{"", "port", "Port on 127.0.0.1", true, 0, "port", command};
    TCLAP::ValueArg<std::uint64_t> seed{"", "seed", "Seed of random delays", false, 1U, "number", command};
    TCLAP::ValueArg<std::size_t> reads{"", "read-rate", "Reads a second", false, 2000U, "number", command};
    TCLAP::ValueArg<std::size_t> writes{"", "write-rate", "Writes a second", false, 300U, "number", command};
    TCLAP::ValueArg<std::uint64_t> lag{"", "list-lag-ms", "Lag of the instance list", false, 0U, "ms", command};
    TCLAP::MultiArg<std::uint16_t> views{"", "view-port", "Further port, see /control/views", false, "port", command};
    command.parse(argc, argv);
    block_stop_signals();
    event_loop loop{};
    const store served{loop,
                       {port.getValue(), seed.getValue(), reads.getValue(), writes.getValue(),
                        std::chrono::milliseconds{lag.getValue()}, views.getValue()}};
    const loop_thread thread{loop};
    announce_ready();
    wait_for_stop_signal();
}

} // namespace

} // namespace standin

int main(int argc, char** argv) {
    return standin::run_program([&] { standin::run_store(argc, argv); });
}
