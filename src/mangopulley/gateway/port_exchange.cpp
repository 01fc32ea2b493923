#include "port_exchange.hpp"

#include <utility>

#include "caller_connection.hpp"

namespace mangopulley::internal {

port_exchange::port_exchange(std::weak_ptr<caller_connection> owner, const std::uint64_t position,
                             http_request&& received, const bool body_complete, memory_reservation&& body_memory)
    : connection{std::move(owner)},
      queue_number{position}, content{std::move(received)}, whole{body_complete}, memory{std::move(body_memory)} {}

const http_request& port_exchange::request() const noexcept {
    return this->content;
}

bool port_exchange::body_held() const noexcept {
    return this->whole;
}

void port_exchange::read_body(body_reader reader) {
    const auto source = this->connection.lock();
    if (!source) {
        return;
    }
    if (!reader) {
        source->read_body(this->queue_number, {});
        return;
    }
    source->read_body(this->queue_number,
                      [held = this->weak_from_this(), reader = std::move(reader)](body_part&& part) {
                          if (const auto exchange = held.lock()) {
                              exchange->content.body = {};
                              reader(std::move(part));
                          }
                      });
}

void port_exchange::respond(const std::string_view status_and_fields, const std::string_view body,
                            const bool bodiless) {
    const auto self = this->shared_from_this();
    if (const auto source = this->connection.lock()) {
        this->connection.reset();
        source->respond(*this, status_and_fields, body, bodiless);
    }
}

void port_exchange::respond(const http_reply& reply) {
    const auto self = this->shared_from_this();
    if (const auto source = this->connection.lock()) {
        this->connection.reset();
        source->respond(*this, reply);
    }
}

void port_exchange::begin_response(const std::string_view status_and_fields, const std::optional<std::size_t> length) {
    if (const auto source = this->connection.lock()) {
        source->begin_response(*this, status_and_fields, length);
    }
}

void port_exchange::send_body(const body_part& part) {
    // A response that is cancelled for lack of memory is released by its owner during the call.
    const auto self = this->shared_from_this();
    if (const auto source = this->connection.lock()) {
        if (part.position != body_part::state::more) {
            this->connection.reset();
        }
        source->send_body(*this, part);
    }
}

bool port_exchange::all_sent() const noexcept {
    const auto source = this->connection.lock();
    return !source || source->may_continue(this->queue_number);
}

void port_exchange::on_sent(std::function<void()> listener) {
    if (const auto source = this->connection.lock()) {
        source->set_sent_listener(this->queue_number, std::move(listener));
    }
}

void port_exchange::on_disconnect(std::function<void()> listener) {
    if (const auto source = this->connection.lock()) {
        source->set_disconnect_listener(this->queue_number, std::move(listener));
    }
}

} // namespace mangopulley::internal
