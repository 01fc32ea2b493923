#include "caller_port.hpp"

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

// Requests sent ahead of their turn are read up to this size.
constexpr std::size_t most_read_ahead = 65'536U;
constexpr stream_timing caller_timing{milliseconds{5'000}, milliseconds{5'000}};
constexpr milliseconds longest_close_linger{500};

class caller_connection;

/*! @brief Writes status line and fields of a reply, without those of the framing. */
[[nodiscard]] std::string head_of(const http_reply& reply) {
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

struct caller_port_state {
    event_loop& loop;
    std::function<http_limits()> limits;
    caller_port::handler action;
    std::unordered_map<caller_connection*, std::shared_ptr<caller_connection>> connections{};
    std::unique_ptr<stream_listener> listener{};
    bool leaving{};
};

/*! @brief One caller's connection; at most one of its requests is being answered. */
class caller_connection final : public std::enable_shared_from_this<caller_connection> {
public:
    caller_connection(caller_port_state& port, const http_limits& bounds)
        : owner{port}, limits{bounds}, parser{bounds}, since{port.loop.now()}, opened{port.loop.earliest_arrival()} {}

    void open(const Poco::Net::StreamSocket& socket) {
        stream::events events{};
        events.received = [this](const std::string_view bytes) { this->receive(bytes); };
        events.drained = [this] { this->after_send(); };
        events.closed = [this](bool) { this->lose(); };
        this->connection = std::make_unique<stream>(this->owner.loop, socket, caller_timing, std::move(events));
    }

    [[nodiscard]] bool busy() const noexcept { return this->answering || this->parser.started(); }
    [[nodiscard]] bool idle() const noexcept {
        return !this->busy() && (!this->connection || this->connection->unsent() == 0U);
    }

    void answer(const std::string_view head, const std::string_view body, const bool bodiless) {
        if (!this->answering || !this->connection) {
            return;
        }
        this->answering = false;
        this->exchange_gone = {};
        this->closing = this->closing || !this->keep_alive || this->owner.leaving;
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
        this->since = this->owner.loop.now();
        this->connection->send(bytes);
        if (this->connection->unsent() == 0U) {
            this->after_send();
        }
    }

    void expire(const time_point now) {
        if (this->answering || !this->connection) {
            return;
        }
        if (this->closing || this->connection->unsent() > 0U) {
            if (now - this->since >= (this->lingering ? longest_close_linger : this->limits.longest_send)) {
                this->drop();
            }
        } else if (this->parser.started()) {
            if (now - this->begun >= this->limits.longest_receive) {
                this->reject(408, "request not received in time");
            }
        } else if (now - this->since >= this->limits.longest_idle) {
            this->drop();
        }
    }

    void drop() {
        this->connection.reset();
        this->owner.connections.erase(this);
    }

    void set_gone(std::function<void()> action) { this->exchange_gone = std::move(action); }

private:
    void receive(const std::string_view bytes) {
        if (this->closing) {
            return;
        }
        if (!this->parser.started()) {
            this->begun = this->arrival();
        }
        this->parser.append(bytes);
        this->read_ahead += bytes.size();
        if (this->answering) {
            if (this->read_ahead > most_read_ahead) {
                this->connection->pause_reading(true);
            }
            return;
        }
        this->proceed();
    }

    void proceed();

    /*! @brief Returns the earliest time at which the bytes read now can have arrived. */
    [[nodiscard]] time_point arrival() {
        const auto earliest = this->owner.loop.earliest_arrival();
        // What is read in the turn after the accept may have come with the connection.
        const auto opening = std::exchange(this->opened, time_point::max());
        return this->turn_after_accept == earliest ? std::min(opening, earliest) : earliest;
    }

    void reject(const int status, const std::string_view reason) {
        this->answering = true;
        this->keep_alive = false;
        const auto reply = text_reply(status, std::string{reason});
        this->answer(head_of(reply), reply.body, false);
    }

    void after_send() {
        const auto kept = this->shared_from_this();
        if (this->closing) {
            if (!std::exchange(this->lingering, true)) {
                // Closing with unread bytes would reset the connection and could take the answer with it.
                this->since = this->owner.loop.now();
                this->connection->finish_sending();
            }
            return;
        }
        if (!this->answering) {
            this->connection->pause_reading(false);
            this->proceed();
        }
    }

    void lose() {
        const auto kept = this->shared_from_this();
        const auto gone = std::exchange(this->exchange_gone, {});
        const bool waited = std::exchange(this->answering, false);
        this->drop();
        if (waited && gone) {
            gone();
        }
    }

    caller_port_state& owner;
    http_limits limits;
    request_parser parser;
    std::unique_ptr<stream> connection{};
    std::function<void()> exchange_gone{};
    time_point since;
    /*! @brief Earliest time at which the connection can have been opened. */
    time_point opened;
    time_point turn_after_accept{owner.loop.turn_began()};
    /*! @brief When the first byte of the request arrived. */
    time_point begun{};
    std::size_t read_ahead{};
    bool answering{};
    bool keep_alive{true};
    bool closing{};
    bool lingering{};
};

class port_exchange final : public caller_exchange {
public:
    port_exchange(std::weak_ptr<caller_connection> source, http_request&& received)
        : connection{std::move(source)}, content{std::move(received)} {}

    [[nodiscard]] const http_request& request() const noexcept override { return this->content; }

    void answer(const std::string_view status_and_fields, const std::string_view body, const bool bodiless) override {
        if (const auto held = this->connection.lock()) {
            this->connection.reset();
            held->answer(status_and_fields, body, bodiless);
        }
    }

    void answer(const http_reply& reply) override { this->answer(head_of(reply), reply.body, false); }

    void on_gone(std::function<void()> action) override {
        if (const auto held = this->connection.lock()) {
            held->set_gone(std::move(action));
        }
    }

private:
    std::weak_ptr<caller_connection> connection;
    http_request content;
};

void caller_connection::proceed() {
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
        request.received = this->begun;
        this->begun = this->owner.loop.now();
        this->read_ahead = 0U;
        this->answering = true;
        this->keep_alive = request.head.getKeepAlive();
        this->owner.action(std::make_shared<port_exchange>(this->weak_from_this(), std::move(request)));
        break;
    }
    }
}

} // namespace

} // namespace internal

struct caller_port::implementation : internal::caller_port_state {};

caller_port::caller_port(event_loop& loop, const std::string& address, std::function<http_limits()> limits,
                         handler action)
    : self{std::make_shared<implementation>(
          implementation{internal::caller_port_state{loop, std::move(limits), std::move(action)}})} {
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

caller_port::~caller_port() {
    this->self->listener.reset();
    const auto connections = std::exchange(this->self->connections, {});
    for (const auto& [key, connection] : connections) {
        connection->drop();
    }
}

void caller_port::close_after_answers() noexcept {
    this->self->leaving = true;
}

void caller_port::close_idle() {
    const auto connections = this->self->connections;
    for (const auto& [key, connection] : connections) {
        if (connection->idle()) {
            connection->drop();
        }
    }
}

void caller_port::expire() {
    const auto connections = this->self->connections;
    const auto now = this->self->loop.now();
    for (const auto& [key, connection] : connections) {
        connection->expire(now);
    }
}

std::size_t caller_port::connections() const noexcept {
    return this->self->connections.size();
}

std::size_t caller_port::busy() const noexcept {
    const auto& all = this->self->connections;
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [](const auto& entry) { return !entry.second->idle(); }));
}

std::uint16_t caller_port::port() const {
    return this->self->listener->port();
}

} // namespace mangopulley
