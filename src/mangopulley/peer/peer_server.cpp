#include "peer_server.hpp"

#include <atomic>
#include <map>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/Net/TCPServerParams.h>
#include <Poco/ThreadPool.h>

#include "frame.hpp"

namespace mangopulley {

namespace internal {

// The default backlog of Poco's constructor for listening sockets.
constexpr int listen_backlog = 64;
constexpr int max_peer_connections = 256;
constexpr Poco::Timespan::TimeDiff idle_timeout_us = 60'000'000;
// Wake-up interval of idle connections; at 200 ms the wake-ups were most of the control cost of large fleets.
constexpr Poco::Timespan::TimeDiff stop_poll_interval_us = 1'000'000;

struct peer_server_state {
    std::map<message_type, peer_server::handler> handlers{};
    std::atomic<std::uint64_t> bytes_sent{};
    std::atomic<bool> stopping{};
};

class peer_connection final : public Poco::Net::TCPServerConnection {
public:
    peer_connection(const Poco::Net::StreamSocket& socket, peer_server_state& shared)
        : TCPServerConnection{socket}, state{shared} {}

    void run() override {
        try {
            this->socket().setNoDelay(true);
            this->socket().setSendTimeout(Poco::Timespan{2, 0});
            this->socket().setReceiveTimeout(Poco::Timespan{2, 0});
            while (this->wait_for_request() && this->handle_request()) {
            }
        } catch (const Poco::Exception&) { // NOLINT(bugprone-empty-catch)
            // The peer closed the connection or sent a malformed frame; it reconnects when needed.
        }
    }

private:
    [[nodiscard]] bool wait_for_request() {
        for (Poco::Timespan::TimeDiff waited = 0; waited < idle_timeout_us; waited += stop_poll_interval_us) {
            if (this->state.stopping.load()) {
                return false;
            }
            if (this->socket().poll(Poco::Timespan{stop_poll_interval_us}, Poco::Net::Socket::SELECT_READ)) {
                return true;
            }
        }
        return false;
    }

    [[nodiscard]] bool handle_request() {
        const auto request = read_frame(this->socket());
        message_reader reader{request};
        const auto fields = reader.array(3U);
        const auto type = static_cast<message_type>(reader.number());
        const auto correlation_id = reader.number();
        const auto body = reader.text();
        const auto position = this->state.handlers.find(type);
        if (!reader.valid() || fields != 3U || position == this->state.handlers.end()) {
            return false;
        }
        const auto reply = position->second(body);
        if (!reply) {
            return false;
        }
        message_writer writer{};
        writer.array(2U).number(correlation_id).text(*reply);
        const auto bytes = writer.take();
        write_frame(this->socket(), bytes);
        this->state.bytes_sent.fetch_add(bytes.size() + frame_header_bytes, std::memory_order_relaxed);
        return true;
    }

    peer_server_state& state;
};

class peer_connection_factory final : public Poco::Net::TCPServerConnectionFactory {
public:
    explicit peer_connection_factory(peer_server_state& shared) : state{shared} {}

    Poco::Net::TCPServerConnection* createConnection(const Poco::Net::StreamSocket& socket) override {
        return new peer_connection{socket, this->state};
    }

private:
    peer_server_state& state;
};

} // namespace internal

struct peer_server::implementation {
    std::string address;
    internal::peer_server_state state{};
    Poco::ThreadPool threads{2, internal::max_peer_connections};
    std::unique_ptr<Poco::Net::TCPServer> server{};
};

peer_server::peer_server(std::string address) : self{std::make_unique<implementation>()} {
    this->self->address = std::move(address);
}

peer_server::~peer_server() {
    this->stop();
}

void peer_server::handle(const message_type type, handler action) {
    this->self->state.handlers[type] = std::move(action);
}

std::string_view peer_server::name() const noexcept {
    return "peer_server";
}

void peer_server::start() {
    Poco::Net::TCPServerParams::Ptr parameters{new Poco::Net::TCPServerParams{}};
    parameters->setMaxThreads(internal::max_peer_connections);
    parameters->setMaxQueued(internal::max_peer_connections);
    Poco::Net::ServerSocket socket{};
    // Without SO_REUSEPORT, which Poco sets by default: two processes on one port would each receive a part of the
    // calls.
    socket.bind(Poco::Net::SocketAddress{this->self->address}, true, false);
    socket.listen(internal::listen_backlog);
    this->self->server = std::make_unique<Poco::Net::TCPServer>(
        new internal::peer_connection_factory{this->self->state}, this->self->threads, socket, parameters);
    this->self->server->start();
}

void peer_server::stop() noexcept {
    if (this->self->server) {
        this->self->state.stopping = true;
        this->self->server->stop();
        this->self->threads.joinAll();
        this->self->server.reset();
    }
}

std::uint64_t peer_server::bytes_sent() const noexcept {
    return this->self->state.bytes_sent.load();
}

} // namespace mangopulley
