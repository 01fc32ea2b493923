#include "async_http_server.hpp"

#include <algorithm>
#include <utility>

#include <Poco/Net/StreamSocket.h>

#include "../loop/stream.hpp"
#include "caller_connection.hpp"

namespace mangopulley {

struct async_http_server::implementation : internal::server_context {
    std::unique_ptr<stream_listener> listener{};
};

async_http_server::async_http_server(event_loop& loop, const std::string& address, memory_budget& memory,
                                     std::function<http_limits()> limits, handler on_request,
                                     request_filter may_overlap)
    : self{std::make_shared<implementation>(implementation{
          internal::server_context{loop, memory, std::move(limits), std::move(on_request), std::move(may_overlap)}})} {
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

std::uint64_t async_http_server::overlapping_requests() const noexcept {
    return this->self->overlapping_requests;
}

std::optional<port_error> async_http_server::port_failure() const {
    return this->self->listener->failure();
}

std::uint16_t async_http_server::port() const {
    return this->self->listener->port();
}

} // namespace mangopulley
