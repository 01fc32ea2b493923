#include "tcp_peer_transport.hpp"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include "frame.hpp"

namespace mangopulley {

namespace internal {

// Idle connections to one peer beyond these are closed; calls at the same time to one peer are rare.
constexpr std::size_t idle_per_peer = 4U;
// Shorter than the server's idle limit of 60 s, so that the client closes first.
constexpr auto longest_peer_idle = std::chrono::seconds{30};

struct idle_peer_connection {
    Poco::Net::StreamSocket socket;
    time_point since;
};

[[nodiscard]] Poco::Timespan to_timespan(const milliseconds time) {
    return Poco::Timespan{std::max<Poco::Timespan::TimeDiff>(time.count(), 1) * 1000};
}

} // namespace internal

struct tcp_peer_transport::implementation {
    std::mutex guard{};
    std::map<std::string, std::vector<internal::idle_peer_connection>, std::less<>> idle{};
    std::atomic<std::uint64_t> next_correlation{1U};
    std::atomic<std::uint64_t> sent{};
    std::atomic<std::uint64_t> received{};

    [[nodiscard]] std::optional<Poco::Net::StreamSocket> take(const std::string_view endpoint) {
        const std::lock_guard lock{this->guard};
        const auto position = this->idle.find(endpoint);
        while (position != this->idle.end() && !position->second.empty()) {
            auto connection = std::move(position->second.back());
            position->second.pop_back();
            const bool fresh = std::chrono::steady_clock::now() - connection.since < internal::longest_peer_idle;
            if (fresh && !connection.socket.poll(Poco::Timespan{0}, Poco::Net::Socket::SELECT_READ)) {
                return std::move(connection.socket);
            }
        }
        return std::nullopt;
    }

    void give_back(const std::string_view endpoint, const Poco::Net::StreamSocket& socket) {
        const std::lock_guard lock{this->guard};
        auto& connections = this->idle[std::string{endpoint}];
        if (connections.size() < internal::idle_per_peer) {
            connections.push_back({socket, std::chrono::steady_clock::now()});
        }
    }
};

tcp_peer_transport::tcp_peer_transport() : self{std::make_unique<implementation>()} {}

tcp_peer_transport::~tcp_peer_transport() = default;

result<std::string> tcp_peer_transport::call(const std::string_view endpoint, const message_type type,
                                             const std::string_view body, const milliseconds timeout) {
    const auto begin = std::chrono::steady_clock::now();
    auto stage = network_error::code::connect_failed;
    const auto fail = [&](const enum network_error::code code, std::string detail) {
        return boost::leaf::new_error(network_error{code, std::string{endpoint}, std::move(detail)});
    };
    try {
        auto socket = this->self->take(endpoint);
        if (!socket) {
            socket.emplace();
            socket->connect(Poco::Net::SocketAddress{std::string{endpoint}}, internal::to_timespan(timeout));
            socket->setNoDelay(true);
        }
        const auto spent = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - begin);
        socket->setSendTimeout(internal::to_timespan(timeout - spent));
        socket->setReceiveTimeout(internal::to_timespan(timeout - spent));
        const auto correlation = this->self->next_correlation.fetch_add(1U);
        message_writer writer{};
        writer.array(3U).number(static_cast<std::uint64_t>(type)).number(correlation).text(body);
        const auto request = writer.take();
        stage = network_error::code::broken;
        internal::write_frame(*socket, request);
        const auto reply = internal::read_frame(*socket);
        this->self->sent.fetch_add(request.size() + internal::frame_head_size, std::memory_order_relaxed);
        this->self->received.fetch_add(reply.size() + internal::frame_head_size, std::memory_order_relaxed);
        message_reader reader{reply};
        const auto fields = reader.array(2U);
        const auto echoed = reader.number();
        auto answer = reader.text();
        if (!reader.valid() || fields != 2U || echoed != correlation) {
            return fail(network_error::code::malformed, "reply not understood");
        }
        this->self->give_back(endpoint, *socket);
        return answer;
    } catch (const Poco::TimeoutException& error) {
        const bool connecting = stage == network_error::code::connect_failed;
        return fail(connecting ? stage : network_error::code::timed_out, error.displayText());
    } catch (const Poco::Exception& error) {
        return fail(stage, error.displayText());
    }
}

tcp_peer_transport::byte_counts tcp_peer_transport::counts() const noexcept {
    return {this->self->sent.load(), this->self->received.load()};
}

} // namespace mangopulley
