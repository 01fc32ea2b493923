#include "caller_connection.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include <Poco/Net/HTTPResponse.h>

#include "../http/chunk.hpp"
#include "port_exchange.hpp"

namespace mangopulley::internal {

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

} // namespace

caller_connection::caller_connection(server_context& server)
    : owner{server}, limits{server.limits()}, parser{this->limits}, last_activity{server.loop.now()},
      earliest_opened{server.loop.earliest_arrival()} {}

void caller_connection::open(const Poco::Net::StreamSocket& socket) {
    stream::events events{};
    events.received = [this](const std::string_view bytes) { this->handle_received(bytes); };
    events.drained = [this] { this->handle_sent(); };
    events.closed = [this](bool) { this->handle_closed(); };
    this->connection = std::make_unique<stream>(this->owner.loop, socket, caller_timing, std::move(events));
}

void caller_connection::respond(const std::string_view head, const std::string_view body, const bool bodiless) {
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

void caller_connection::respond(const http_reply& reply) {
    this->respond(reply_head(reply), reply.body, this->head_request);
}

void caller_connection::begin_response(const std::string_view head, const std::optional<std::size_t> length) {
    if (!this->request_in_progress || !this->connection) {
        return;
    }
    this->framing = length           ? response_framing::length
                    : this->http_1_0 ? response_framing::until_close
                                     : response_framing::chunked;
    this->closing_after_body =
        this->body_open || !this->keep_alive || this->owner.draining || this->framing == response_framing::until_close;
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

void caller_connection::send_body(const body_part& part) {
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

void caller_connection::read_body(body_reader&& next) {
    if (!this->body_open || !this->connection) {
        return;
    }
    this->reader = std::move(next);
    if (this->reader) {
        this->connection->pause_reading(false);
        this->continue_body();
    }
}

void caller_connection::expire(const time_point now, const http_limits& bounds) {
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

void caller_connection::drop() {
    this->connection.reset();
    this->owner.connections.erase(this);
}

void caller_connection::apply(const http_limits& bounds) noexcept {
    this->limits = bounds;
    this->parser.apply(bounds);
}

duration caller_connection::max_linger() const noexcept {
    if (this->body_open) {
        return this->limits.longest_receive;
    }
    return this->lingering ? max_close_linger : this->limits.longest_send;
}

duration caller_connection::max_receive() const noexcept {
    return this->limits.longest_receive +
           std::chrono::seconds{1} * this->parser.body_bytes() / min_body_bytes_per_second;
}

time_point caller_connection::earliest_arrival() {
    const auto earliest = this->owner.loop.earliest_arrival();
    // Bytes read in the loop turn after the accept may have arrived together with the connection.
    const auto accepted_at = std::exchange(this->earliest_opened, time_point::max());
    return this->accept_turn == earliest ? std::min(accepted_at, earliest) : earliest;
}

void caller_connection::handle_received(const std::string_view bytes) {
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

void caller_connection::handle_sent() {
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

void caller_connection::handle_closed() {
    const auto self = this->shared_from_this();
    const auto listener = std::exchange(this->disconnect_listener, {});
    const bool was_in_progress = std::exchange(this->request_in_progress, false);
    this->drop();
    if (was_in_progress && listener) {
        listener();
    }
}

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
    this->head_request = request.is_head();
    this->http_1_0 = request.head.getVersion() == Poco::Net::HTTPMessage::HTTP_1_0;
    // A body that is passed on in parts is not held beyond the response.
    memory_reservation none{this->owner.memory};
    this->owner.on_request(std::make_shared<port_exchange>(this->weak_from_this(), std::move(request), whole,
                                                           std::move(whole ? this->memory : none)));
}

void caller_connection::end_request() {
    ++this->requests_handled;
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

void caller_connection::send_last(const std::string_view bytes) {
    this->last_activity = this->owner.loop.now();
    this->connection->send(bytes);
    if (this->connection->unsent() == 0U) {
        this->handle_sent();
    }
}

bool caller_connection::admit_body(const bool complete) {
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

bool caller_connection::must_pass_on() {
    const auto held = this->parser.body_bytes();
    return held > this->limits.longest_held_body || !this->memory.try_grow_to(held);
}

void caller_connection::continue_body() {
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

void caller_connection::discard(const std::string_view bytes) {
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

void caller_connection::begin_lingering() {
    if (!std::exchange(this->lingering, true)) {
        this->last_activity = this->owner.loop.now();
        this->connection->finish_sending();
    }
}

void caller_connection::reject(const int status, const std::string_view reason) {
    this->reject(text_reply(status, std::string{reason}));
}

void caller_connection::reject(const http_reply& reply) {
    if (this->owner.on_rejection) {
        this->owner.on_rejection({reply.status, reply.body,
                                  this->parser.head_complete() ? &this->parser.head() : nullptr,
                                  this->requests_handled});
    }
    this->head_request = this->parser.head().is_head();
    this->request_in_progress = true;
    this->keep_alive = false;
    this->respond(reply);
}

void caller_connection::reject_body() {
    this->body_open = false;
    this->reader = {};
    this->sent_listener = {};
    if (const auto listener = std::exchange(this->disconnect_listener, {})) {
        listener();
    }
    this->reject(this->parser.rejection_status(), this->parser.rejection_reason());
}

} // namespace mangopulley::internal
