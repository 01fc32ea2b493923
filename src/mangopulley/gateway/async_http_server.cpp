#include "async_http_server.hpp"

#include <algorithm>
#include <unordered_map>
#include <utility>
#include <vector>

#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>

#include "../http/request_parser.hpp"
#include "../loop/stream.hpp"

namespace mangopulley {

namespace internal {

namespace {

// Limit on bytes of pipelined requests that are read while an earlier request is in progress.
constexpr std::size_t max_read_ahead_bytes = 65'536U;
constexpr stream_timing caller_timing{milliseconds{5'000}, milliseconds{5'000}};
constexpr milliseconds max_close_linger{500};

class caller_connection;

/*! @brief Returns the status line and header fields of a reply, without framing. */
[[nodiscard]] std::string reply_head(const http_reply& reply) {
    const auto status = static_cast<Poco::Net::HTTPResponse::HTTPStatus>(reply.status);
    std::string head{"HTTP/1.1 "};
    head.append(std::to_string(reply.status)).append(" ");
    head.append(Poco::Net::HTTPResponse::getReasonForStatus(status)).append("\r\n");
    if (!reply.body.empty()) {
        head.append("Content-Type: ").append(reply.content_type).append("\r\n");
    }
    for (const auto& field : reply.headers) {
        head.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    return head;
}

struct async_http_server_state {
    event_loop& loop;
    std::function<http_limits()> limits;
    async_http_server::handler on_request;
    std::unordered_map<caller_connection*, std::shared_ptr<caller_connection>> connections{};
    std::unique_ptr<stream_listener> listener{};
    bool draining{};
};

/*! @brief Connection of a caller; at most one of its requests is in progress at a time. */
class caller_connection final : public std::enable_shared_from_this<caller_connection> {
public:
    caller_connection(async_http_server_state& port, const http_limits& bounds)
        : owner{port}, limits{bounds}, parser{bounds}, last_activity{port.loop.now()},
          earliest_opened{port.loop.earliest_arrival()} {}

    void open(const Poco::Net::StreamSocket& socket) {
        stream::events events{};
        events.received = [this](const std::string_view bytes) { this->handle_received(bytes); };
        events.drained = [this] { this->handle_sent(); };
        events.closed = [this](bool) { this->handle_closed(); };
        this->connection = std::make_unique<stream>(this->owner.loop, socket, caller_timing, std::move(events));
    }

    [[nodiscard]] bool busy() const noexcept { return this->request_in_progress || this->parser.started(); }
    [[nodiscard]] bool idle() const noexcept {
        return !this->busy() && (!this->connection || this->connection->unsent() == 0U);
    }

    void respond(const std::string_view head, const std::string_view body, const bool bodiless) {
        if (!this->request_in_progress || !this->connection) {
            return;
        }
        this->request_in_progress = false;
        this->disconnect_listener = {};
        this->closing = this->closing || !this->keep_alive || this->owner.draining;
        std::string bytes{};
        bytes.reserve(head.size() + body.size() + 64U);
        bytes.append(head);
        if (!bodiless) {
            bytes.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
        }
        bytes.append(this->closing ? "Connection: close\r\n\r\n" : "\r\n");
        if (!bodiless) {
            bytes.append(body);
        }
        this->last_activity = this->owner.loop.now();
        this->connection->send(bytes);
        if (this->connection->unsent() == 0U) {
            this->handle_sent();
        }
    }

    void expire(const time_point now) {
        if (this->request_in_progress || !this->connection) {
            return;
        }
        if (this->closing || this->connection->unsent() > 0U) {
            if (now - this->last_activity >= (this->lingering ? max_close_linger : this->limits.longest_send)) {
                this->drop();
            }
        } else if (this->parser.started()) {
            if (now - this->request_began >= this->limits.longest_receive) {
                this->reject(408, "request not received in time");
            }
        } else if (now - this->last_activity >= this->limits.longest_idle) {
            this->drop();
        }
    }

    void drop() {
        this->connection.reset();
        this->owner.connections.erase(this);
    }

    void set_disconnect_listener(std::function<void()> listener) { this->disconnect_listener = std::move(listener); }

private:
    void handle_received(const std::string_view bytes) {
        if (this->closing) {
            return;
        }
        if (!this->parser.started()) {
            this->request_began = this->earliest_arrival();
        }
        this->parser.append(bytes);
        this->read_ahead += bytes.size();
        if (this->request_in_progress) {
            if (this->read_ahead > max_read_ahead_bytes) {
                this->connection->pause_reading(true);
            }
            return;
        }
        this->process_next();
    }

    void process_next();

    /*! @brief Returns the earliest possible arrival time of the bytes being read. */
    [[nodiscard]] time_point earliest_arrival() {
        const auto earliest = this->owner.loop.earliest_arrival();
        // Bytes read in the loop turn after the accept may have arrived together with the connection.
        const auto accepted_at = std::exchange(this->earliest_opened, time_point::max());
        return this->accept_turn == earliest ? std::min(accepted_at, earliest) : earliest;
    }

    void reject(const int status, const std::string_view reason) {
        this->request_in_progress = true;
        this->keep_alive = false;
        const auto reply = text_reply(status, std::string{reason});
        this->respond(reply_head(reply), reply.body, false);
    }

    void handle_sent() {
        const auto self = this->shared_from_this();
        if (this->closing) {
            if (!std::exchange(this->lingering, true)) {
                // Closing with unread bytes would reset the connection, and the caller could lose the response.
                this->last_activity = this->owner.loop.now();
                this->connection->finish_sending();
            }
            return;
        }
        if (!this->request_in_progress) {
            this->connection->pause_reading(false);
            this->process_next();
        }
    }

    void handle_closed() {
        const auto self = this->shared_from_this();
        const auto listener = std::exchange(this->disconnect_listener, {});
        const bool was_in_progress = std::exchange(this->request_in_progress, false);
        this->drop();
        if (was_in_progress && listener) {
            listener();
        }
    }

    async_http_server_state& owner;
    http_limits limits;
    request_parser parser;
    std::unique_ptr<stream> connection{};
    std::function<void()> disconnect_listener{};
    time_point last_activity;
    /*! @brief Earliest possible time of the connection's opening; the maximum once the first bytes were read. */
    time_point earliest_opened;
    time_point accept_turn{owner.loop.turn_began()};
    /*! @brief Arrival time of the first byte of the request. */
    time_point request_began{};
    std::size_t read_ahead{};
    bool request_in_progress{};
    bool keep_alive{true};
    bool closing{};
    bool lingering{};
};

class port_exchange final : public http_server_exchange {
public:
    port_exchange(std::weak_ptr<caller_connection> owner, http_request&& received)
        : connection{std::move(owner)}, content{std::move(received)} {}

    [[nodiscard]] const http_request& request() const noexcept override { return this->content; }

    void respond(const std::string_view status_and_fields, const std::string_view body, const bool bodiless) override {
        if (const auto source = this->connection.lock()) {
            this->connection.reset();
            source->respond(status_and_fields, body, bodiless);
        }
    }

    void respond(const http_reply& reply) override { this->respond(reply_head(reply), reply.body, false); }

    void on_disconnect(std::function<void()> listener) override {
        if (const auto source = this->connection.lock()) {
            source->set_disconnect_listener(std::move(listener));
        }
    }

private:
    std::weak_ptr<caller_connection> connection;
    http_request content;
};

void caller_connection::process_next() {
    switch (this->parser.examine()) {
    case request_parser::state::incomplete:
        if (this->parser.take_continue_expected()) {
            this->connection->send("HTTP/1.1 100 Continue\r\n\r\n");
        }
        break;
    case request_parser::state::rejected:
        this->reject(this->parser.rejection_status(), this->parser.rejection_reason());
        break;
    case request_parser::state::complete: {
        auto request = this->parser.take();
        request.received = this->request_began;
        this->request_began = this->owner.loop.now();
        this->read_ahead = 0U;
        this->request_in_progress = true;
        this->keep_alive = request.head.getKeepAlive();
        this->owner.on_request(std::make_shared<port_exchange>(this->weak_from_this(), std::move(request)));
        break;
    }
    }
}

} // namespace

} // namespace internal

struct async_http_server::implementation : internal::async_http_server_state {};

async_http_server::async_http_server(event_loop& loop, const std::string& address, std::function<http_limits()> limits,
                                     handler on_request)
    : self{std::make_shared<implementation>(
          implementation{internal::async_http_server_state{loop, std::move(limits), std::move(on_request)}})} {
    auto& state = *this->self;
    state.listener = std::make_unique<stream_listener>(loop, address, [&state](const Poco::Net::StreamSocket& socket) {
        const auto bounds = state.limits();
        if (state.connections.size() >= bounds.most_connections) {
            return;
        }
        auto connection = std::make_shared<internal::caller_connection>(state, bounds);
        state.connections.emplace(connection.get(), connection);
        connection->open(socket);
    });
}

async_http_server::~async_http_server() {
    this->self->listener.reset();
    const auto connections = std::exchange(this->self->connections, {});
    for (const auto& [key, connection] : connections) {
        connection->drop();
    }
}

void async_http_server::close_after_responses() noexcept {
    this->self->draining = true;
}

void async_http_server::close_idle() {
    const auto connections = this->self->connections;
    for (const auto& [key, connection] : connections) {
        if (connection->idle()) {
            connection->drop();
        }
    }
}

void async_http_server::expire() {
    const auto connections = this->self->connections;
    const auto now = this->self->loop.now();
    for (const auto& [key, connection] : connections) {
        connection->expire(now);
    }
}

std::size_t async_http_server::connections() const noexcept {
    return this->self->connections.size();
}

std::size_t async_http_server::busy() const noexcept {
    const auto& all = this->self->connections;
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [](const auto& entry) { return !entry.second->idle(); }));
}

std::uint16_t async_http_server::port() const {
    return this->self->listener->port();
}

} // namespace mangopulley
