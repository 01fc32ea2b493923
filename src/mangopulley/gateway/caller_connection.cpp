#include "caller_connection.hpp"

#include <algorithm>
#include <exception>
#include <string>
#include <utility>

#include "port_exchange.hpp"

namespace mangopulley::internal {

namespace {

// Limit on bytes of pipelined requests that are read before their turn.
constexpr std::size_t max_read_ahead_bytes = 65'536U;
constexpr std::size_t max_requests_in_flight = 16U;
// No request is handed over while this much of finished responses waits for earlier ones.
constexpr std::size_t max_waiting_response_bytes = 262'144U;
constexpr stream_timing caller_timing{milliseconds{5'000}, milliseconds{5'000}};
constexpr milliseconds max_close_linger{500};
constexpr std::string_view full_memory_retry_after{"0.5"};

[[nodiscard]] http_reply full_memory_reply(std::string reason) {
    auto reply = text_reply(503, std::move(reason));
    reply.headers.push_back({"Retry-After", std::string{full_memory_retry_after}});
    return reply;
}

} // namespace

caller_connection::caller_connection(server_context& server)
    : owner{server}, intake{server.limits(), server.memory}, responses{server.memory}, last_activity{server.loop.now()},
      earliest_opened{server.loop.earliest_arrival()} {}

void caller_connection::open(const Poco::Net::StreamSocket& socket) {
    stream::events events{};
    events.received = [this](const std::string_view bytes) { this->handle_received(bytes); };
    events.drained = [this] { this->handle_sent(); };
    events.closed = [this](bool) { this->abort(); };
    this->connection = std::make_unique<stream>(this->owner.loop, socket, caller_timing, std::move(events));
}

template <typename Action>
void caller_connection::run_or_abort(const Action& action) {
    if (!this->connection) {
        return;
    }
    try {
        action();
    } catch (const std::exception&) {
        this->abort();
        throw;
    }
}

void caller_connection::respond(const port_exchange& exchange, const std::string_view head, const std::string_view body,
                                const bool bodiless) {
    this->run_or_abort([&] {
        if (this->responses.finish(exchange.number(), head, body, bodiless)) {
            static_cast<void>(this->flush_or_hold(exchange));
            this->advance();
        }
    });
}

void caller_connection::respond(const port_exchange& exchange, const http_reply& reply) {
    this->run_or_abort([&] {
        if (this->responses.finish(exchange.number(), reply)) {
            static_cast<void>(this->flush_or_hold(exchange));
            this->advance();
        }
    });
}

void caller_connection::begin_response(const port_exchange& exchange, const std::string_view head,
                                       const std::optional<std::size_t> length) {
    this->run_or_abort([&] {
        if (!this->responses.begin(exchange.number(), head, length)) {
            return;
        }
        if (this->body_open) {
            this->reader = {};
            this->connection->pause_reading(false);
        }
        this->flush();
    });
}

void caller_connection::send_body(const port_exchange& exchange, const body_part& part) {
    this->run_or_abort([&] {
        if (!this->responses.append(exchange.number(), part)) {
            return;
        }
        // The sent listener must not run between two parts that are passed on in one go.
        if (!this->flush_or_hold(exchange) || part.position != body_part::state::more) {
            this->advance();
        }
    });
}

bool caller_connection::may_continue(const std::uint64_t number) const noexcept {
    if (!this->connection || !this->responses.contains(number)) {
        return true;
    }
    const auto waiting = this->responses.waiting_bytes(number);
    return number == this->responses.first() ? waiting == 0U && this->all_sent() : waiting < body_window_bytes;
}

void caller_connection::read_body(const std::uint64_t number, body_reader&& next) {
    if (!this->body_open || !this->connection || !this->responses.contains(number)) {
        return;
    }
    this->reader = std::move(next);
    if (this->reader) {
        this->connection->pause_reading(false);
        this->continue_body();
    }
}

void caller_connection::expire(const time_point now, const http_limits& bounds) {
    if (!this->connection || (!this->responses.empty() && !this->responses.first_complete())) {
        return;
    }
    if (!this->intake.arriving().started()) {
        this->intake.apply(bounds);
    }
    if (this->closing || !this->all_sent()) {
        if (now - this->last_activity >= this->max_linger()) {
            this->abort();
        }
    } else if (this->intake.arriving().started()) {
        // Bytes that follow others may not have been read before those were answered.
        if (now - std::max(this->intake.began(), this->last_activity) >= this->intake.longest_receive()) {
            this->reject(text_reply(408, "request not received in time"));
            this->advance();
        }
    } else if (now - this->last_activity >= this->intake.limits().longest_idle) {
        this->drop();
    }
}

void caller_connection::drop() {
    this->connection.reset();
    this->owner.connections.erase(this);
}

void caller_connection::abort() {
    const auto self = this->shared_from_this();
    this->drop();
    this->responses.cancel_all();
    static_cast<void>(this->responses.notify_cancelled());
}

duration caller_connection::max_linger() const noexcept {
    if (this->body_open) {
        return this->intake.limits().longest_receive;
    }
    return this->lingering ? max_close_linger : this->intake.limits().longest_send;
}

time_point caller_connection::earliest_arrival() {
    const auto earliest = this->owner.loop.earliest_arrival();
    // Bytes read in the loop turn after the accept may have arrived together with the connection.
    const auto accepted_at = std::exchange(this->earliest_opened, time_point::max());
    return this->accept_turn == earliest ? std::min(accepted_at, earliest) : earliest;
}

void caller_connection::handle_received(const std::string_view bytes) {
    if (this->closing || (this->body_open && this->responses.first_begun())) {
        this->discard(bytes);
        return;
    }
    this->intake.receive(bytes, this->earliest_arrival());
    if (this->body_open) {
        this->continue_body();
    } else {
        this->advance();
    }
}

void caller_connection::handle_sent() {
    if (this->closing) {
        this->begin_closing();
        return;
    }
    this->sent_call_due = true;
    this->advance();
}

void caller_connection::advance() {
    if (std::exchange(this->advancing, true)) {
        return;
    }
    const auto self = this->shared_from_this();
    try {
        while (this->advance_once()) {
        }
    } catch (const std::exception&) {
        this->advancing = false;
        this->abort();
        throw;
    }
    this->advancing = false;
    this->update_reading();
}

bool caller_connection::advance_once() {
    this->flush();
    if (this->responses.notify_cancelled()) {
        return true;
    }
    if (!this->connection) {
        return false;
    }
    if (this->sent_call_due && this->all_sent()) {
        this->sent_call_due = false;
        if (const auto listener = this->responses.sent_listener()) {
            listener();
            return true;
        }
    }
    return this->begin_next();
}

void caller_connection::flush() {
    while (this->connection && !this->responses.empty() && (this->responses.first_taken() || this->all_sent())) {
        const bool last = this->responses.size() == 1U;
        const auto output = this->responses.take(this->body_open || (last && this->owner.draining));
        if (output.broken) {
            this->connection->reset_on_close();
            this->drop();
            this->responses.cancel_all();
            return;
        }
        if (!output.bytes.empty()) {
            this->connection->send(output.bytes);
        }
        if (!output.complete) {
            this->sent_call_due = this->sent_call_due || output.waited;
            return;
        }
        this->end_response(output.closes);
    }
}

void caller_connection::end_response(const bool closes) {
    this->last_activity = this->owner.loop.now();
    this->reader = {};
    this->intake.release_memory();
    if (closes) {
        this->closing = true;
        this->connection->pause_reading(false);
        this->responses.cancel_all();
        this->begin_closing();
    }
}

void caller_connection::begin_closing() {
    // Many callers read the response only after they have sent the whole body.
    if (!this->body_open && this->all_sent()) {
        this->begin_lingering();
    }
}

bool caller_connection::flush_or_hold(const port_exchange& exchange) {
    this->flush();
    const auto number = exchange.number();
    if (this->responses.reserve(number)) {
        return true;
    }
    // A target has executed the request, so the reply must not promise the opposite.
    const auto reply = text_reply(502, "no memory for the response");
    this->report_rejection(reply, &exchange.request(), number);
    this->responses.replace(number, reply);
    return false;
}

bool caller_connection::has_room() const noexcept {
    if (this->closing || this->body_open) {
        return false;
    }
    if (this->responses.empty()) {
        return this->all_sent();
    }
    return !this->exclusive && !this->owner.draining && !this->responses.closes() &&
           this->responses.size() < max_requests_in_flight &&
           this->responses.waiting_bytes() < max_waiting_response_bytes;
}

bool caller_connection::next_may_overlap() const {
    const auto& request = this->intake.arriving().head();
    return this->owner.may_overlap && this->intake.arriving().body_length() == std::size_t{0U} &&
           request.head.getVersion() == Poco::Net::HTTPMessage::HTTP_1_1 && this->owner.may_overlap(request);
}

bool caller_connection::begin_next() {
    if (!this->has_room()) {
        return false;
    }
    this->intake.apply(this->owner.limits());
    const auto present = this->intake.examine();
    if (present == request_parser::state::rejected) {
        this->reject(this->intake.rejection());
        return true;
    }
    if (!this->intake.arriving().head_complete()) {
        return false;
    }
    const bool may_overlap = this->next_may_overlap();
    if (!may_overlap && !this->responses.empty()) {
        return false;
    }
    const bool whole = present == request_parser::state::complete;
    if (!this->admit_body(whole)) {
        return true;
    }
    if (!whole && this->intake.take_continue_expected()) {
        this->connection->send("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (!whole && !this->intake.must_pass_on()) {
        return false;
    }
    this->begin_request(whole, may_overlap);
    return true;
}

void caller_connection::begin_request(const bool whole, const bool may_overlap) {
    auto request = this->intake.take();
    this->exclusive = !may_overlap;
    this->body_open = !whole;
    this->owner.overlapping_requests += this->responses.empty() ? 0U : 1U;
    const auto number = this->responses.add({request.head.getKeepAlive(), request.is_head(),
                                             request.head.getVersion() == Poco::Net::HTTPMessage::HTTP_1_0});
    // A body that is passed on in parts is not held beyond the response.
    auto memory = whole ? this->intake.take_memory() : memory_reservation{this->owner.memory};
    this->owner.on_request(
        std::make_shared<port_exchange>(this->weak_from_this(), number, std::move(request), whole, std::move(memory)));
}

void caller_connection::update_reading() {
    // `continue_body` decides while a body arrives.
    if (!this->connection || this->closing || this->body_open) {
        return;
    }
    const bool waiting = !this->responses.empty() || !this->all_sent();
    this->connection->pause_reading(waiting && this->intake.waiting_bytes() > max_read_ahead_bytes);
}

bool caller_connection::admit_body(const bool complete) {
    if (this->intake.reserve_body()) {
        return true;
    }
    this->body_open = !complete;
    this->reject(full_memory_reply("no memory for the request body"));
    return false;
}

void caller_connection::continue_body() {
    const auto self = this->shared_from_this();
    const auto present = this->intake.examine();
    if (present == request_parser::state::rejected) {
        this->reject_body();
        return;
    }
    const bool complete = present == request_parser::state::complete;
    if (!this->reader) {
        if (complete || this->intake.arriving().body_bytes() >= body_window_bytes) {
            this->connection->pause_reading(true);
        }
        return;
    }
    body_part part{this->intake.take_body(), complete ? body_part::state::last : body_part::state::more};
    if (complete) {
        this->body_open = false;
    } else if (part.bytes.empty()) {
        return;
    }
    std::exchange(this->reader, {})(std::move(part));
}

void caller_connection::discard(const std::string_view bytes) {
    if (!this->body_open) {
        return;
    }
    this->intake.receive(bytes, this->owner.loop.now());
    const auto present = this->intake.examine();
    static_cast<void>(this->intake.take_body());
    if (present == request_parser::state::incomplete) {
        return;
    }
    this->body_open = false;
    this->last_activity = this->owner.loop.now();
    if (this->closing) {
        this->begin_closing();
    }
}

void caller_connection::begin_lingering() {
    if (!std::exchange(this->lingering, true)) {
        this->last_activity = this->owner.loop.now();
        this->connection->finish_sending();
    }
}

void caller_connection::reject(const http_reply& reply) {
    const auto* head = this->intake.arriving().head_complete() ? &this->intake.arriving().head() : nullptr;
    this->report_rejection(reply, head, this->responses.first() + this->responses.size());
    const auto number = this->responses.add({false, this->intake.arriving().head().is_head(), false});
    static_cast<void>(this->responses.finish(number, reply));
}

void caller_connection::report_rejection(const http_reply& reply, const http_request* head,
                                         const std::uint64_t previous_requests) const {
    if (this->owner.on_rejection) {
        this->owner.on_rejection({reply.status, reply.body, head, previous_requests});
    }
}

void caller_connection::reject_body() {
    this->body_open = false;
    this->reader = {};
    if (this->responses.first_taken()) {
        this->abort();
        return;
    }
    const auto number = this->responses.first();
    const auto reply = this->intake.rejection();
    this->report_rejection(reply, nullptr, number);
    this->responses.close_after(number);
    this->responses.replace(number, reply);
    this->advance();
}

} // namespace mangopulley::internal
