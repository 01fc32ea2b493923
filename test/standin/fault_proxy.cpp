#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>

#include <Poco/Net/SocketAddress.h>
#include <nlohmann/json.hpp>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <tclap/CmdLine.h>

#include "common/descriptor.hpp"
#include "common/event_loop.hpp"
#include "common/http_server.hpp"
#include "common/loop_thread.hpp"
#include "common/program.hpp"
#include "common/stop_signal.hpp"

namespace standin {

namespace {

using loop_time = event_loop::clock_type::time_point;
using std::chrono::milliseconds;

constexpr std::size_t most_buffered = 4'194'304U;

/*! @brief Directions, which also number the sides of a connection: a flow `to_server` reads from side 0. */
enum direction : std::size_t { to_server = 0U, to_client = 1U };

[[nodiscard]] constexpr direction opposite(const direction flow) noexcept {
    return flow == to_server ? to_client : to_server;
}

/*! @brief Names one, both or neither of the directions. */
struct direction_set {
    std::array<bool, 2U> chosen{};

    [[nodiscard]] static std::optional<direction_set> parse(const std::string_view text) {
        static constexpr std::pair<std::string_view, direction_set> names[] = {{"none", {{false, false}}},
                                                                               {"to_server", {{true, false}}},
                                                                               {"to_client", {{false, true}}},
                                                                               {"both", {{true, true}}}};
        for (const auto& [name, value] : names) {
            if (name == text) {
                return value;
            }
        }
        return std::nullopt;
    }
};

/*! @brief Faults to show; see docs/md/standin.md. */
struct proxy_faults {
    std::array<milliseconds, 2U> delay{};
    direction_set cut{};
    direction_set hold{};
    bool refuse{};
    std::uint64_t reset_after_bytes{};
    std::uint64_t lose_reply{};
    std::uint64_t reorder_ms{};
};

struct proxy_counts {
    std::uint64_t accepted{};
    std::array<std::uint64_t, 2U> bytes{};
    std::uint64_t swallowed_bytes{};
    std::uint64_t lost_replies{};
    std::uint64_t resets{};
};

class relay;

/*! @brief What the connections of one proxy share. */
struct proxy_state {
    event_loop& loop;
    proxy_faults faults{};
    proxy_counts counts{};
    std::set<std::shared_ptr<relay>> relays{};
};

/*! @brief One connection through the proxy. */
class relay : public std::enable_shared_from_this<relay> {
public:
    relay(proxy_state& owner, descriptor client, descriptor server)
        : state{owner}, sides{std::move(client), std::move(server)} {}

    void start() {
        this->state.loop.watch(this->sides[0U].get(), 0U, this->action(to_server));
        this->state.loop.watch(this->sides[1U].get(), EPOLLOUT, this->action(to_client));
    }

    void set_extra_delay(const milliseconds extra) noexcept { this->extra_delay = extra; }

    /*! @brief Follows changed faults. A stream that lost bytes cannot go on, so its connection is reset. */
    void faults_changed() {
        for (const auto flow : {to_server, to_client}) {
            if (this->flows[flow].lost && !this->state.faults.cut.chosen[flow]) {
                this->reset();
                return;
            }
        }
        if (this->connected) {
            this->update_interest();
        }
    }

    void reset() {
        for (const auto& side : this->sides) {
            if (side.valid()) {
                reset_at_close(side);
            }
        }
        ++this->state.counts.resets;
        this->close();
    }

    void close() {
        const auto alive = this->shared_from_this();
        for (const auto side : {to_server, to_client}) {
            this->close_side(side);
            this->state.loop.cancel(std::exchange(this->flows[side].timer, 0U));
        }
        this->state.relays.erase(alive);
    }

private:
    enum class chunk_kind : std::uint8_t { data, end, reset };
    struct chunk {
        loop_time due{};
        std::string bytes{};
        chunk_kind kind{chunk_kind::data};
    };
    struct flow_state {
        std::deque<chunk> chunks{};
        std::size_t buffered{};
        loop_time last_due{};
        event_loop::timer_id timer{};
        bool lost{};
        bool ended{};
        bool blocked{};
    };

    [[nodiscard]] std::function<void(std::uint32_t)> action(const direction side) {
        return [weak = this->weak_from_this(), side](const std::uint32_t events) {
            if (const auto connection = weak.lock()) {
                connection->serve(side, events);
            }
        };
    }

    void close_side(const direction side) {
        if (this->sides[side].valid()) {
            this->state.loop.forget(this->sides[side].get());
            this->sides[side].close();
        }
    }

    void update_interest() {
        for (const auto side : {to_server, to_client}) {
            if (!this->sides[side].valid()) {
                continue;
            }
            const auto& incoming = this->flows[side];
            const bool reads =
                !incoming.ended && incoming.buffered < most_buffered && !this->state.faults.hold.chosen[side];
            const bool writes = this->flows[opposite(side)].blocked;
            this->state.loop.change(this->sides[side].get(), (reads ? EPOLLIN : 0U) | (writes ? EPOLLOUT : 0U));
        }
    }

    void serve(const direction side, const std::uint32_t events) {
        if (!this->connected) {
            int error = 0;
            socklen_t length = sizeof(error);
            ::getsockopt(this->sides[1U].get(), SOL_SOCKET, SO_ERROR, &error, &length);
            if (side == to_server || error != 0) {
                this->reset();
                return;
            }
            this->connected = true;
            this->update_interest();
            return;
        }
        if ((events & EPOLLOUT) != 0U) {
            this->pump(opposite(side));
        }
        if (this->sides[side].valid() && (events & EPOLLIN) != 0U) {
            this->read(side);
        } else if (this->sides[side].valid() && (events & (EPOLLHUP | EPOLLERR)) != 0U) {
            this->lost_side(side);
        }
    }

    // A side is gone. While its direction is cut the other side does not learn of it.
    void lost_side(const direction side) {
        if (this->state.faults.cut.chosen[side] && this->sides[opposite(side)].valid()) {
            this->flows[side].lost = true;
            this->flows[side].ended = true;
            this->close_side(side);
        } else {
            this->reset();
        }
    }

    void read(const direction flow) {
        std::array<char, 65'536U> buffer{};
        const auto count = ::recv(this->sides[flow].get(), buffer.data(), buffer.size(), 0);
        if (count > 0) {
            this->take({buffer.data(), static_cast<std::size_t>(count)}, flow);
        } else if (count == 0) {
            this->flows[flow].ended = true;
            if (this->state.faults.cut.chosen[flow]) {
                this->flows[flow].lost = true;
                this->update_interest();
            } else {
                this->add(flow, {}, chunk_kind::end);
            }
        } else if (errno != EAGAIN && errno != EINTR) {
            this->lost_side(flow);
        }
    }

    void take(std::string_view bytes, const direction flow) {
        auto& current = this->flows[flow];
        auto& faults = this->state.faults;
        if (faults.cut.chosen[flow] || current.lost) {
            current.lost = true;
            this->state.counts.swallowed_bytes += bytes.size();
            return;
        }
        if (flow == to_client && faults.lose_reply > 0U) {
            --faults.lose_reply;
            ++this->state.counts.lost_replies;
            this->state.counts.swallowed_bytes += bytes.size();
            this->close();
            return;
        }
        const auto allowed = faults.reset_after_bytes > this->total ? faults.reset_after_bytes - this->total : 0U;
        const bool resets = faults.reset_after_bytes > 0U && bytes.size() >= allowed;
        if (resets) {
            bytes = bytes.substr(0U, allowed);
            current.ended = true;
        }
        this->total += bytes.size();
        this->state.counts.bytes[flow] += bytes.size();
        const auto alive = this->shared_from_this();
        this->add(flow, std::string{bytes}, chunk_kind::data);
        if (resets) {
            this->add(flow, {}, chunk_kind::reset);
        }
    }

    void add(const direction flow, std::string bytes, const chunk_kind kind) {
        auto& current = this->flows[flow];
        current.last_due = std::max(current.last_due,
                                    event_loop::clock_type::now() + this->state.faults.delay[flow] + this->extra_delay);
        current.buffered += bytes.size();
        current.chunks.push_back({current.last_due, std::move(bytes), kind});
        this->pump(flow);
    }

    void pump(const direction flow) {
        auto& current = this->flows[flow];
        const auto& sink = this->sides[opposite(flow)];
        current.blocked = false;
        while (!current.chunks.empty() && sink.valid()) {
            auto& first = current.chunks.front();
            const auto now = event_loop::clock_type::now();
            if (first.due > now) {
                this->state.loop.cancel(current.timer);
                const auto left = std::chrono::ceil<std::chrono::microseconds>(first.due - now);
                current.timer = this->state.loop.after(left, [weak = this->weak_from_this(), flow] {
                    if (const auto connection = weak.lock()) {
                        connection->pump(flow);
                    }
                });
                break;
            }
            if (first.kind == chunk_kind::reset) {
                this->reset();
                return;
            }
            if (first.kind == chunk_kind::end) {
                ::shutdown(sink.get(), SHUT_WR);
                current.chunks.clear();
                if (this->flows[opposite(flow)].ended && this->flows[opposite(flow)].chunks.empty()) {
                    this->close();
                    return;
                }
                break;
            }
            if (!this->write_first(current, sink)) {
                break;
            }
        }
        this->update_interest();
    }

    // False when the sink takes no more for now.
    [[nodiscard]] static bool write_first(flow_state& current, const descriptor& sink) {
        auto& bytes = current.chunks.front().bytes;
        const auto count = ::send(sink.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            current.blocked = true;
            return false;
        }
        // A broken sink is reported by its own event; what was meant for it is dropped.
        const auto written = count < 0 ? bytes.size() : static_cast<std::size_t>(count);
        current.buffered -= written;
        bytes.erase(0U, written);
        if (bytes.empty()) {
            current.chunks.pop_front();
        }
        return true;
    }

    proxy_state& state;
    std::array<descriptor, 2U> sides;
    std::array<flow_state, 2U> flows{};
    std::uint64_t total{};
    milliseconds extra_delay{};
    bool connected{};
};

/*! @brief TCP proxy; all functions run in the thread of the loop. */
class fault_proxy {
public:
    fault_proxy(event_loop& loop, const std::uint16_t listen_port, const Poco::Net::SocketAddress& server,
                const std::uint64_t seed)
        : state{loop}, port{listen_port}, target{server}, random{seed} {
        this->listen();
    }

    void handle(const http_request& request, const std::shared_ptr<http_connection>& connection) {
        if (request.method == "PUT" && request.path == "/control") {
            try {
                this->set_faults(nlohmann::json::parse(request.body));
                connection->respond({200, "{}"});
            } catch (const std::exception& error) {
                connection->respond({400, error.what(), "text/plain", {}});
            }
        } else if (request.method == "GET" && request.path == "/control/counts") {
            const auto& counts = this->state.counts;
            connection->respond({200, nlohmann::json{{"accepted", counts.accepted},
                                                     {"open", this->state.relays.size()},
                                                     {"to_server_bytes", counts.bytes[to_server]},
                                                     {"to_client_bytes", counts.bytes[to_client]},
                                                     {"swallowed_bytes", counts.swallowed_bytes},
                                                     {"lost_replies", counts.lost_replies},
                                                     {"resets", counts.resets}}
                                          .dump()});
        } else {
            connection->respond({404, {}, "text/plain", {}});
        }
    }

private:
    void listen() {
        this->listener = listen_on(this->port);
        this->state.loop.watch(this->listener.get(), EPOLLIN, [this](std::uint32_t) { this->accept_waiting(); });
    }

    void accept_waiting() {
        for (auto client = accept_one(this->listener); client.valid(); client = accept_one(this->listener)) {
            ++this->state.counts.accepted;
            try {
                auto server = start_connect(this->target.host().toString(), this->target.port());
                const auto connection = std::make_shared<relay>(this->state, std::move(client), std::move(server));
                connection->set_extra_delay(this->draw_extra_delay());
                connection->start();
                this->state.relays.insert(connection);
            } catch (const std::system_error&) { // NOLINT(bugprone-empty-catch)
                // The server refused at once; the client's connection closes with its descriptor.
            }
        }
    }

    [[nodiscard]] milliseconds draw_extra_delay() {
        return milliseconds{this->random() % (this->state.faults.reorder_ms + 1U)};
    }

    [[nodiscard]] static direction_set read_directions(const nlohmann::json& json, const char* field,
                                                       const direction_set present) {
        if (!json.contains(field)) {
            return present;
        }
        const auto chosen = direction_set::parse(json.at(field).get<std::string>());
        if (!chosen) {
            throw std::invalid_argument{"expected none, to_server, to_client or both"};
        }
        return *chosen;
    }

    void set_faults(const nlohmann::json& json) {
        auto faults = this->state.faults;
        if (json.contains("delay_ms")) {
            const auto& delay = json.at("delay_ms");
            const auto read = [&delay](const char* field) {
                return milliseconds{delay.is_object() ? delay.value(field, std::uint64_t{0U})
                                                      : delay.get<std::uint64_t>()};
            };
            faults.delay = {read("to_server"), read("to_client")};
        }
        faults.cut = read_directions(json, "cut", faults.cut);
        faults.hold = read_directions(json, "hold", faults.hold);
        faults.refuse = json.value("refuse", faults.refuse);
        faults.reset_after_bytes = json.value("reset_after_bytes", faults.reset_after_bytes);
        faults.lose_reply = json.value("lose_reply", faults.lose_reply);
        faults.reorder_ms = json.value("reorder_ms", faults.reorder_ms);
        const bool reset_all = json.value("reset_connections", false);
        this->state.faults = faults;
        if (faults.refuse && this->listener.valid()) {
            this->state.loop.forget(this->listener.get());
            this->listener.close();
        } else if (!faults.refuse && !this->listener.valid()) {
            this->listen();
        }
        for (const auto& connection : std::set{this->state.relays}) {
            if (json.contains("reorder_ms")) {
                connection->set_extra_delay(this->draw_extra_delay());
            }
            if (reset_all) {
                connection->reset();
            } else {
                connection->faults_changed();
            }
        }
    }

    proxy_state state;
    std::uint16_t port;
    Poco::Net::SocketAddress target;
    std::mt19937_64 random;
    descriptor listener{};
};

void run_proxy(int argc, char** argv) {
    TCLAP::CmdLine command{"TCP proxy that shows faults of a network", ' ', "1"};
    command.setExceptionHandling(false);
    TCLAP::ValueArg<std::uint16_t> port{"", "listen", "Port on 127.0.0.1", true, 0, "port", command};
    TCLAP::ValueArg<std::string> to{"", "to", "Server", true, "", "ip:port", command};
    TCLAP::ValueArg<std::uint16_t> control{"", "control", "Port for control requests", false, 0, "port", command};
    TCLAP::ValueArg<std::uint64_t> seed{"", "seed", "Seed of random delays", false, 1U, "number", command};
    command.parse(argc, argv);
    block_stop_signals();
    event_loop loop{};
    fault_proxy proxy{loop, port.getValue(), Poco::Net::SocketAddress{to.getValue()}, seed.getValue()};
    std::optional<http_server> server{};
    if (control.getValue() != 0) {
        server.emplace(loop, control.getValue(), http_server_options{},
                       [&proxy](const http_request& request, const std::shared_ptr<http_connection>& connection) {
                           proxy.handle(request, connection);
                       });
    }
    const loop_thread thread{loop};
    announce_ready();
    wait_for_stop_signal();
}

} // namespace

} // namespace standin

int main(int argc, char** argv) {
    return standin::run_program([&] { standin::run_proxy(argc, argv); });
}
