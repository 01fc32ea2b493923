#include "request_intake.hpp"

#include <algorithm>
#include <chrono>

namespace mangopulley::internal {

namespace {

// A body that is held whole must arrive at this rate on average, after the time limit for the head.
constexpr std::size_t min_body_bytes_per_second = 10'000U;

} // namespace

request_intake::request_intake(const http_limits& bounds, memory_budget& budget)
    : bounds_in_force{bounds}, parser{bounds}, memory{budget} {}

void request_intake::apply(const http_limits& bounds) noexcept {
    if (!this->parser.head_complete()) {
        this->bounds_in_force = bounds;
        this->parser.apply(bounds);
    }
}

void request_intake::receive(const std::string_view bytes, const time_point arrived_at) {
    if (!this->parser.started()) {
        this->arrived = arrived_at;
    }
    this->arrivals.keep_last(this->parser.buffered_bytes());
    this->arrivals.append(bytes.size(), arrived_at);
    this->parser.append(bytes);
}

duration request_intake::longest_receive() const noexcept {
    return this->bounds_in_force.longest_receive +
           std::chrono::seconds{1} * this->parser.body_bytes() / min_body_bytes_per_second;
}

bool request_intake::reserve_body() {
    return this->memory.try_grow_to(
        std::min(this->parser.body_length().value_or(body_window_bytes), body_window_bytes));
}

bool request_intake::must_pass_on() {
    const auto held = this->parser.body_bytes();
    return held > this->bounds_in_force.longest_held_body || !this->memory.try_grow_to(held);
}

http_request request_intake::take() {
    auto request = this->parser.take();
    request.received = this->arrived;
    this->find_next_arrival();
    return request;
}

std::string request_intake::take_body() {
    auto body = this->parser.take_body();
    this->find_next_arrival();
    return body;
}

void request_intake::find_next_arrival() {
    this->arrivals.keep_last(this->parser.buffered_bytes());
    this->arrived = this->arrivals.first();
}

} // namespace mangopulley::internal
