#include "datagram_port.hpp"

#include <array>
#include <exception>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/SocketAddress.h>

#include "port_binding.hpp"

namespace mangopulley {

namespace internal {

namespace {

constexpr std::size_t max_datagram_bytes = 65'536U;
constexpr int max_datagrams_per_turn = 256;

} // namespace

} // namespace internal

struct datagram_port::implementation {
    event_loop& loop;
    std::string address;
    received_callback on_datagram;
    std::array<char, internal::max_datagram_bytes> buffer{};
    Poco::Net::DatagramSocket socket{};
    port_binding binding{this->loop, this->address, [this] { this->open(); }};

    implementation(event_loop& owner, std::string local_address, received_callback callback)
        : loop{owner}, address{std::move(local_address)}, on_datagram{std::move(callback)} {}

    void open() {
        Poco::Net::DatagramSocket opened{Poco::Net::SocketAddress{this->address}, true};
        opened.setBlocking(false);
        this->loop.watch(opened, Poco::Net::PollSet::POLL_READ, [this](int) { this->receive(); });
        this->socket = opened;
    }

    void receive() {
        for (int count = 0; count < internal::max_datagrams_per_turn; ++count) {
            Poco::Net::SocketAddress sender{};
            int size = 0;
            try {
                size = this->socket.receiveFrom(this->buffer.data(), static_cast<int>(this->buffer.size()), sender);
            } catch (const Poco::Exception&) {
                return;
            }
            if (size < 0) {
                return;
            }
            this->on_datagram(sender.host().toString(), {this->buffer.data(), static_cast<std::size_t>(size)});
        }
    }
};

datagram_port::datagram_port(event_loop& loop, const std::string& address, received_callback action)
    : self{std::make_unique<implementation>(loop, address, std::move(action))} {}

datagram_port::~datagram_port() {
    if (!this->self->binding.failure()) {
        this->self->loop.forget(this->self->socket);
    }
}

const std::optional<port_error>& datagram_port::failure() const noexcept {
    return this->self->binding.failure();
}

void datagram_port::send(const std::string& endpoint, const std::string_view bytes) noexcept {
    if (this->failure()) {
        return;
    }
    try {
        this->self->socket.sendTo(bytes.data(), static_cast<int>(bytes.size()), Poco::Net::SocketAddress{endpoint});
    } catch (const std::exception&) { // NOLINT(bugprone-empty-catch)
        // Also without memory for the address. Not retried: the next heartbeat carries the same state.
    }
}

} // namespace mangopulley
