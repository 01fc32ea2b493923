#include "async_http_server.hpp"

#include <algorithm>
#include <unordered_map>
#include <utility>
#include <vector>

#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>

#include "../http/chunk.hpp"
#include "../http/request_parser.hpp"
#include "../loop/stream.hpp"

namespace mangopulley {

namespace internal {

namespace {

// Limit on bytes of pipelined requests that are read while an earlier request is in progress.
constexpr std::size_t max_read_ahead_bytes = 65'536U;
constexpr stream_timing caller_timing{milliseconds{5'000}, milliseconds{5'000}};
constexpr milliseconds max_close_linger{500};
// Part of a request's body that is read ahead of its reader, and the memory that a body needs at least.
constexpr std::size_t body_window_bytes = 65'536U;
// A body that is held whole must arrive at this rate on average, after the time limit for the head.
constexpr std::size_t min_body_bytes_per_second = 10'000U;
constexpr std::string_view full_memory_retry_after{"0.5"};

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

/*! @brief How the end of a response's body is marked. */
enum class response_framing : std::uint8_t { length, chunked, until_close };

struct async_http_server_state {
    event_loop& loop;
    memory_budget& memory;
    std::function<http_limits()> limits;
    async_http_server::handler on_request;
    std::unordered_map<caller_connection*, std::shared_ptr<caller_connection>> connections{};
    std::unique_ptr<stream_listener> listener{};
    async_http_server::rejection_listener on_rejection{};
    bool draining{};
};

/*! @brief Connection of a caller; at most one of its requests is in progress at a time. */
class caller_connection final : public std::enable_shared_from_this<caller_connection> {
public:
    explicit caller_connection(async_http_server_state& port)
        : owner{port}, limits{port.limits()}, parser{this->limits}, last_activity{port.loop.now()},
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
        this->end_request();
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
        this->send_last(bytes);
    }

    // Response in parts

    void begin_response(const std::string_view head, const std::optional<std::size_t> length) {
        if (!this->request_in_progress || !this->connection) {
            return;
        }
        this->framing = length           ? response_framing::length
                        : this->http_1_0 ? response_framing::until_close
                                         : response_framing::chunked;
        this->closing_after_body = this->body_open || !this->keep_alive || this->owner.draining ||
                                   this->framing == response_framing::until_close;
        std::string bytes{head};
        if (length) {
            bytes.append("Content-Length: ").append(std::to_string(*length)).append("\r\n");
        } else if (this->framing == response_framing::chunked) {
            bytes.append("Transfer-Encoding: chunked\r\n");
        }
        bytes.append(this->closing_after_body ? "Connection: close\r\n\r\n" : "\r\n");
        this->response_begun = true;
        this->reader = {};
        this->connection->pause_reading(false);
        this->connection->send(bytes);
    }

    void send_body(const body_part& part) {
        if (!this->request_in_progress || !this->connection) {
            return;
        }
        if (part.position == body_part::state::broken) {
            this->connection->reset_on_close();
            this->drop();
            return;
        }
        std::string framed{};
        if (this->framing == response_framing::chunked) {
            append_chunk(framed, part);
        }
        const std::string_view bytes{this->framing == response_framing::chunked ? framed : part.bytes};
        if (part.position == body_part::state::last) {
            this->keep_alive = this->keep_alive && !this->closing_after_body;
            this->end_request();
            this->send_last(bytes);
        } else {
            this->connection->send(bytes);
        }
    }

    [[nodiscard]] bool all_sent() const noexcept { return !this->connection || this->connection->unsent() == 0U; }
    void set_sent_listener(std::function<void()> listener) { this->sent_listener = std::move(listener); }

    // Request body in parts

    void read_body(body_reader&& next) {
        if (!this->body_open || !this->connection) {
            return;
        }
        this->reader = std::move(next);
        if (this->reader) {
            this->connection->pause_reading(false);
            this->continue_body();
        }
    }

    void expire(const time_point now, const http_limits& bounds) {
        if (this->request_in_progress || !this->connection) {
            return;
        }
        if (!this->parser.started()) {
            this->apply(bounds);
        }
        if (this->closing || this->connection->unsent() > 0U) {
            if (now - this->last_activity >= this->max_linger()) {
                this->drop();
            }
        } else if (this->parser.started()) {
            if (now - this->request_began >= this->max_receive()) {
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
    /*! @brief Replaces the limits between two requests; a connection outlives many configurations. */
    void apply(const http_limits& bounds) noexcept {
        this->limits = bounds;
        this->parser.apply(bounds);
    }

    /*! @brief Returns how long a connection that is being closed waits for the caller. */
    [[nodiscard]] duration max_linger() const noexcept {
        if (this->body_open) {
            return this->limits.longest_receive;
        }
        return this->lingering ? max_close_linger : this->limits.longest_send;
    }

    [[nodiscard]] duration max_receive() const noexcept {
        return this->limits.longest_receive +
               std::chrono::seconds{1} * this->parser.body_bytes() / min_body_bytes_per_second;
    }

    /*! @brief Ends the request in progress; the rest of its body, if any, is discarded before the close. */
    void end_request() {
        this->request_in_progress = false;
        this->response_begun = false;
        this->disconnect_listener = {};
        this->sent_listener = {};
        this->reader = {};
        this->memory.release();
        this->closing = this->closing || this->body_open || !this->keep_alive || this->owner.draining;
        if (this->closing) {
            this->connection->pause_reading(false);
        }
    }

    void send_last(const std::string_view bytes) {
        this->last_activity = this->owner.loop.now();
        this->connection->send(bytes);
        if (this->connection->unsent() == 0U) {
            this->handle_sent();
        }
    }

    void handle_received(const std::string_view bytes) {
        if (this->closing || (this->response_begun && this->body_open)) {
            this->discard(bytes);
            return;
        }
        if (!this->parser.started()) {
            this->request_began = this->earliest_arrival();
        }
        this->parser.append(bytes);
        if (this->body_open) {
            this->continue_body();
            return;
        }
        this->read_ahead += bytes.size();
        if (this->request_in_progress) {
            if (this->read_ahead > max_read_ahead_bytes) {
                this->connection->pause_reading(true);
            }
            return;
        }
        this->process_next();
    }

    /*! @brief Discards bytes of a body that nobody reads; the caller may read the response only after sending it all.
     */
    void discard(const std::string_view bytes) {
        if (!this->body_open) {
            return;
        }
        this->parser.append(bytes);
        const auto present = this->parser.examine();
        static_cast<void>(this->parser.take_body());
        if (present == request_parser::state::incomplete) {
            return;
        }
        this->body_open = false;
        this->last_activity = this->owner.loop.now();
        if (this->closing && this->connection->unsent() == 0U) {
            this->begin_lingering();
        }
    }

    /*! @brief Ends the sending side; closing with unread bytes would reset the connection, and the caller could lose
     * the response. */
    void begin_lingering() {
        if (!std::exchange(this->lingering, true)) {
            this->last_activity = this->owner.loop.now();
            this->connection->finish_sending();
        }
    }

    /*! @brief Passes on what has arrived of the body, or stops reading while nobody takes it. */
    void continue_body() {
        const auto self = this->shared_from_this();
        const auto present = this->parser.examine();
        if (present == request_parser::state::rejected) {
            this->reject_body();
            return;
        }
        const bool complete = present == request_parser::state::complete;
        if (!this->reader) {
            if (complete || this->parser.body_bytes() >= body_window_bytes) {
                this->connection->pause_reading(true);
            }
            return;
        }
        body_part part{this->parser.take_body(), complete ? body_part::state::last : body_part::state::more};
        if (complete) {
            this->body_open = false;
            this->read_ahead = 0U;
        } else if (part.bytes.empty()) {
            return;
        }
        std::exchange(this->reader, {})(std::move(part));
    }

    /*! @brief Ends a request whose body turned out to be malformed after it was passed on in part. */
    void reject_body() {
        this->body_open = false;
        this->reader = {};
        this->sent_listener = {};
        if (const auto listener = std::exchange(this->disconnect_listener, {})) {
            listener();
        }
        this->reject(this->parser.rejection_status(), this->parser.rejection_reason());
    }

    /*! @brief Reserves memory for a body of which more may arrive; returns false if the request was rejected for lack
     * of memory. */
    [[nodiscard]] bool admit_body(const bool complete) {
        const auto needed = std::min(this->parser.body_length().value_or(body_window_bytes), body_window_bytes);
        if (this->memory.try_grow_to(needed)) {
            return true;
        }
        this->body_open = !complete;
        auto reply = text_reply(503, "no memory for the request body");
        reply.headers.push_back({"Retry-After", std::string{full_memory_retry_after}});
        this->reject(reply);
        return false;
    }

    /*! @brief Returns whether the body that is arriving is too long to be held whole. */
    [[nodiscard]] bool must_pass_on() {
        const auto held = this->parser.body_bytes();
        return held > this->limits.longest_held_body || !this->memory.try_grow_to(held);
    }

    void process_next();
    void begin_request(bool whole);

    /*! @brief Returns the earliest possible arrival time of the bytes being read. */
    [[nodiscard]] time_point earliest_arrival() {
        const auto earliest = this->owner.loop.earliest_arrival();
        // Bytes read in the loop turn after the accept may have arrived together with the connection.
        const auto accepted_at = std::exchange(this->earliest_opened, time_point::max());
        return this->accept_turn == earliest ? std::min(accepted_at, earliest) : earliest;
    }

    void reject(const int status, const std::string_view reason) {
        this->reject(text_reply(status, std::string{reason}));
    }

    /*! @brief Answers the request that is arriving without the handler, and closes the connection. */
    void reject(const http_reply& reply) {
        if (this->owner.on_rejection) {
            this->owner.on_rejection({reply.status, reply.body,
                                      this->parser.head_complete() ? &this->parser.head() : nullptr,
                                      this->requests_handled});
        }
        this->request_in_progress = true;
        this->keep_alive = false;
        this->respond(reply_head(reply), reply.body, false);
    }

    void handle_sent() {
        const auto self = this->shared_from_this();
        if (this->request_in_progress) {
            if (const auto listener = this->sent_listener) {
                listener();
            }
            return;
        }
        if (this->closing) {
            // Many callers read the response only after they have sent the whole body.
            if (!this->body_open) {
                this->begin_lingering();
            }
            return;
        }
        this->connection->pause_reading(false);
        this->process_next();
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
    std::function<void()> sent_listener{};
    body_reader reader{};
    memory_reservation memory{owner.memory};
    response_framing framing{response_framing::length};
    time_point last_activity;
    /*! @brief Earliest possible time of the connection's opening; the maximum once the first bytes were read. */
    time_point earliest_opened;
    time_point accept_turn{owner.loop.turn_began()};
    /*! @brief Arrival time of the first byte of the request. */
    time_point request_began{};
    std::size_t read_ahead{};
    std::uint64_t requests_handled{};
    bool request_in_progress{};
    /*! @brief Whether the rest of the body of the request in progress, or of the last one, is still to arrive. */
    bool body_open{};
    bool http_1_0{};
    bool keep_alive{true};
    /*! @brief Whether the head of a response in parts was sent. */
    bool response_begun{};
    bool closing_after_body{};
    bool closing{};
    bool lingering{};
};

class port_exchange final : public http_server_exchange, public std::enable_shared_from_this<port_exchange> {
public:
    port_exchange(std::weak_ptr<caller_connection> owner, http_request&& received, const bool body_complete)
        : connection{std::move(owner)}, content{std::move(received)}, whole{body_complete} {}

    [[nodiscard]] const http_request& request() const noexcept override { return this->content; }

    void respond(const std::string_view status_and_fields, const std::string_view body, const bool bodiless) override {
        if (const auto source = this->connection.lock()) {
            this->connection.reset();
            source->respond(status_and_fields, body, bodiless);
        }
    }

    void respond(const http_reply& reply) override { this->respond(reply_head(reply), reply.body, false); }

    [[nodiscard]] bool body_held() const noexcept override { return this->whole; }

    void read_body(body_reader reader) override {
        const auto source = this->connection.lock();
        if (!source) {
            return;
        }
        if (!reader) {
            source->read_body({});
            return;
        }
        source->read_body([held = this->weak_from_this(), reader = std::move(reader)](body_part&& part) {
            if (const auto exchange = held.lock()) {
                exchange->content.body = {};
                reader(std::move(part));
            }
        });
    }

    void begin_response(const std::string_view status_and_fields, const std::optional<std::size_t> length) override {
        if (const auto source = this->connection.lock()) {
            source->begin_response(status_and_fields, length);
        }
    }

    void send_body(const body_part& part) override {
        if (const auto source = this->connection.lock()) {
            if (part.position != body_part::state::more) {
                this->connection.reset();
            }
            source->send_body(part);
        }
    }

    [[nodiscard]] bool all_sent() const noexcept override {
        const auto source = this->connection.lock();
        return !source || source->all_sent();
    }

    void on_sent(std::function<void()> listener) override {
        if (const auto source = this->connection.lock()) {
            source->set_sent_listener(std::move(listener));
        }
    }

    void on_disconnect(std::function<void()> listener) override {
        if (const auto source = this->connection.lock()) {
            source->set_disconnect_listener(std::move(listener));
        }
    }

private:
    std::weak_ptr<caller_connection> connection;
    http_request content;
    bool whole;
};

void caller_connection::process_next() {
    if (!this->parser.head_complete()) {
        this->apply(this->owner.limits());
    }
    const auto present = this->parser.examine();
    if (present == request_parser::state::rejected) {
        this->reject(this->parser.rejection_status(), this->parser.rejection_reason());
        return;
    }
    const bool whole = present == request_parser::state::complete;
    if (!this->parser.head_complete() || !this->admit_body(whole)) {
        return;
    }
    if (!whole && this->parser.take_continue_expected()) {
        this->connection->send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (whole || this->must_pass_on()) {
        this->begin_request(whole);
    }
}

void caller_connection::begin_request(const bool whole) {
    auto request = this->parser.take();
    request.received = this->request_began;
    this->request_began = this->owner.loop.now();
    this->read_ahead = 0U;
    this->request_in_progress = true;
    this->body_open = !whole;
    this->keep_alive = request.head.getKeepAlive();
    this->http_1_0 = request.head.getVersion() == Poco::Net::HTTPMessage::HTTP_1_0;
    ++this->requests_handled;
    this->owner.on_request(std::make_shared<port_exchange>(this->weak_from_this(), std::move(request), whole));
}

} // namespace

} // namespace internal

struct async_http_server::implementation : internal::async_http_server_state {};

async_http_server::async_http_server(event_loop& loop, const std::string& address, memory_budget& memory,
                                     std::function<http_limits()> limits, handler on_request)
    : self{std::make_shared<implementation>(
          implementation{internal::async_http_server_state{loop, memory, std::move(limits), std::move(on_request)}})} {
    auto& state = *this->self;
    state.listener = std::make_unique<stream_listener>(loop, address, [&state](const Poco::Net::StreamSocket& socket) {
        if (state.connections.size() >= state.limits().most_connections) {
            return;
        }
        auto connection = std::make_shared<internal::caller_connection>(state);
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

void async_http_server::on_rejection(rejection_listener listener) {
    this->self->on_rejection = std::move(listener);
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
    const auto bounds = this->self->limits();
    for (const auto& [key, connection] : connections) {
        connection->expire(now, bounds);
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
