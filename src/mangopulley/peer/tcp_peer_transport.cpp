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

// Further idle connections to the same peer are closed, because concurrent calls to one peer are rare.
constexpr std::size_t max_idle_per_peer = 4U;
// Shorter than the server's idle timeout of 60 s, so that the client closes first.
constexpr auto max_idle_time = std::chrono::seconds{30};

struct idle_peer_connection {
    Poco::Net::StreamSocket socket;
    time_point idle_since;
};

[[nodiscard]] Poco::Timespan to_timespan(const milliseconds time) {
    return Poco::Timespan{std::max<Poco::Timespan::TimeDiff>(time.count(), 1) * 1000};
}

} // namespace internal

struct tcp_peer_transport::implementation {
    std::mutex mutex{};
    std::map<std::string, std::vector<internal::idle_peer_connection>, std::less<>> idle{};
    std::atomic<std::uint64_t> next_correlation_id{1U};
    std::atomic<std::uint64_t> bytes_sent{};
    std::atomic<std::uint64_t> bytes_received{};

    [[nodiscard]] std::optional<Poco::Net::StreamSocket> take_idle(const std::string_view endpoint) {
        const std::lock_guard lock{this->mutex};
        const auto position = this->idle.find(endpoint);
        while (position != this->idle.end() && !position->second.empty()) {
            auto connection = std::move(position->second.back());
            position->second.pop_back();
            const bool fresh = std::chrono::steady_clock::now() - connection.idle_since < internal::max_idle_time;
            if (fresh && !connection.socket.poll(Poco::Timespan{0}, Poco::Net::Socket::SELECT_READ)) {
                return std::move(connection.socket);
            }
        }
        return std::nullopt;
    }

    void return_to_pool(const std::string_view endpoint, const Poco::Net::StreamSocket& socket) {
        const std::lock_guard lock{this->mutex};
        auto& connections = this->idle[std::string{endpoint}];
        if (connections.size() < internal::max_idle_per_peer) {
            connections.push_back({socket, std::chrono::steady_clock::now()});
        }
    }
};

tcp_peer_transport::tcp_peer_transport() : self{std::make_unique<implementation>()} {}

tcp_peer_transport::~tcp_peer_transport() = default;

result<std::string> tcp_peer_transport::call(const std::string_view endpoint, const message_type type,
                                             const std::string_view body, const milliseconds timeout) {
    const auto begin = std::chrono::steady_clock::now();
    auto failure_code = network_error::code::connect_failed;
    const auto fail = [&](const enum network_error::code code, std::string detail) {
        return boost::leaf::new_error(network_error{code, std::string{endpoint}, std::move(detail)});
    };
    try {
        auto socket = this->self->take_idle(endpoint);
        if (!socket) {
            socket.emplace();
            socket->connect(Poco::Net::SocketAddress{std::string{endpoint}}, internal::to_timespan(timeout));
            socket->setNoDelay(true);
        }
        const auto elapsed = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - begin);
        socket->setSendTimeout(internal::to_timespan(timeout - elapsed));
        socket->setReceiveTimeout(internal::to_timespan(timeout - elapsed));
        const auto correlation_id = this->self->next_correlation_id.fetch_add(1U);
        message_writer writer{};
        writer.array(3U).number(static_cast<std::uint64_t>(type)).number(correlation_id).text(body);
        const auto request = writer.take();
        failure_code = network_error::code::broken;
        internal::write_frame(*socket, request);
        const auto reply = internal::read_frame(*socket);
        this->self->bytes_sent.fetch_add(request.size() + internal::frame_header_bytes, std::memory_order_relaxed);
        this->self->bytes_received.fetch_add(reply.size() + internal::frame_header_bytes, std::memory_order_relaxed);
        message_reader reader{reply};
        const auto fields = reader.array(2U);
        const auto echoed_id = reader.number();
        auto reply_body = reader.text();
        if (!reader.valid() || fields != 2U || echoed_id != correlation_id) {
            return fail(network_error::code::malformed, "malformed reply or unexpected correlation id");
        }
        this->self->return_to_pool(endpoint, *socket);
        return reply_body;
    } catch (const Poco::TimeoutException& error) {
        const bool connecting = failure_code == network_error::code::connect_failed;
        return fail(connecting ? failure_code : network_error::code::timed_out, error.displayText());
    } catch (const Poco::Exception& error) {
        return fail(failure_code, error.displayText());
    }
}

tcp_peer_transport::byte_counts tcp_peer_transport::counts() const noexcept {
    return {this->self->bytes_sent.load(), this->self->bytes_received.load()};
}

} // namespace mangopulley
