#include "stream.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include <Poco/Error.h>
#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <netinet/tcp.h>

#include "acknowledgement_watch.hpp"
#include "port_binding.hpp"

namespace mangopulley {

namespace internal {

namespace {

constexpr std::size_t read_buffer_bytes = 16'384U;
constexpr int listen_backlog = 512;
constexpr int max_accepts_per_turn = 64;
constexpr duration accept_pause{std::chrono::milliseconds{100}};
constexpr int keep_alive_interval_s = 1;
constexpr int keep_alive_probes = 2;
// Without TCP_USER_TIMEOUT, which ends a connection at the first probe without an answer, this does.
constexpr int keep_alive_probes_of_slow_reader = 1;
constexpr int looks_per_longest_silence = 4;
// Sent bytes are dropped from the front of the buffer in pieces of at least this size.
constexpr std::size_t min_compaction_bytes = 65'536U;

/*! @brief Returns whether the socket merely cannot take or deliver bytes now. POCO reports that in the same way as a
 * connection that timed out, which delivers nothing more; only the code tells them apart. */
[[nodiscard]] bool is_temporary(const Poco::Exception& error) noexcept {
    return error.code() == POCO_EWOULDBLOCK || error.code() == POCO_EAGAIN || error.code() == POCO_EINTR;
}

void limit_unacknowledged(const Poco::Net::StreamSocket& socket, const milliseconds limit) {
    socket.impl()->setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(limit.count()));
}

void configure(Poco::Net::StreamSocket& socket, const stream_timing& timing) {
    socket.setBlocking(false);
    socket.setNoDelay(true);
    limit_unacknowledged(socket, timing.unacknowledged);
    if (timing.keep_alive > milliseconds::zero()) {
        socket.setKeepAlive(true);
        socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE,
                         static_cast<int>(std::chrono::ceil<std::chrono::seconds>(timing.keep_alive).count()));
        socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, keep_alive_interval_s);
        socket.setOption(IPPROTO_TCP, TCP_KEEPCNT,
                         timing.waits_for_reader ? keep_alive_probes_of_slow_reader : keep_alive_probes);
    }
}

} // namespace

} // namespace internal

struct stream::implementation : std::enable_shared_from_this<stream::implementation> {
    event_loop& loop;
    Poco::Net::StreamSocket socket;
    stream_timing timing;
    internal::acknowledgement_watch acknowledgements{this->timing.unacknowledged};
    timer_id acknowledgement_timer{};
    /*! @brief Shared, so that a running callback stays alive when it destroys the stream. */
    std::shared_ptr<const events> callbacks;
    std::string send_buffer{};
    std::size_t send_offset{};
    bool connecting{};
    bool open{true};
    bool paused{};
    bool sent_any{};
    /*! @brief Whether sending failed. The socket reports an error once, so that receiving then looks like an orderly
     * end.
     */
    bool send_failed{};

    implementation(event_loop& owner, const Poco::Net::StreamSocket& connection, const stream_timing& rules,
                   events actions)
        : loop{owner}, socket{connection}, timing{rules}, callbacks{
                                                              std::make_shared<const events>(std::move(actions))} {}

    [[nodiscard]] std::size_t pending_bytes() const noexcept { return this->send_buffer.size() - this->send_offset; }

    [[nodiscard]] int modes() const noexcept {
        int wanted = Poco::Net::PollSet::POLL_ERROR;
        if (!this->paused) {
            wanted |= Poco::Net::PollSet::POLL_READ;
        }
        if (this->connecting || this->pending_bytes() > 0U) {
            wanted |= Poco::Net::PollSet::POLL_WRITE;
        }
        return wanted;
    }

    void watch() {
        this->loop.watch(this->socket, this->modes(), [weak_state = this->weak_from_this()](const int ready) {
            if (const auto state = weak_state.lock()) {
                state->run_or_close([&state, ready] { state->handle_ready(ready); });
            }
        });
    }

    /*! @brief Closes the connection if a callback fails: the owner of the stream may have missed some of its bytes. */
    template <typename Action>
    void run_or_close(const Action& action) {
        const auto self_reference = this->shared_from_this();
        try {
            action();
        } catch (const std::exception&) {
            this->close_and_notify(true);
            throw;
        }
    }

    void update_modes() {
        if (this->open) {
            this->loop.change(this->socket, this->modes());
        }
    }

    void close() noexcept {
        if (!std::exchange(this->open, false)) {
            return;
        }
        this->loop.forget(this->socket);
        this->loop.cancel(this->acknowledgement_timer);
        try {
            if (this->timing.waits_for_reader) {
                // The kernel keeps what the peer hasn't read, and nobody limits the time any more.
                internal::limit_unacknowledged(this->socket, this->timing.unacknowledged);
            }
            this->socket.close();
        } catch (const Poco::Exception&) { // NOLINT(bugprone-empty-catch)
            // The peer has already closed the connection.
        }
    }

    void close_and_notify(const bool broken) {
        if (!this->open) {
            return;
        }
        this->close();
        if (const auto actions = this->callbacks; actions && actions->closed) {
            actions->closed(broken || this->send_failed);
        }
    }

    void handle_ready(const int ready) {
        if (this->connecting) {
            this->finish_connecting(ready);
            return;
        }
        if ((ready & Poco::Net::PollSet::POLL_WRITE) != 0) {
            this->flush(true);
        }
        if (this->open && (ready & (Poco::Net::PollSet::POLL_READ | Poco::Net::PollSet::POLL_ERROR)) != 0) {
            this->receive();
        }
    }

    void finish_connecting(const int ready) {
        int code = 0;
        this->socket.impl()->getOption(SOL_SOCKET, SO_ERROR, code);
        if (code != 0 || (ready & Poco::Net::PollSet::POLL_WRITE) == 0) {
            if (code != 0 || (ready & Poco::Net::PollSet::POLL_ERROR) != 0) {
                this->close_and_notify(true);
            }
            return;
        }
        this->connecting = false;
        this->wait_for_reader();
        this->update_modes();
        if (const auto actions = this->callbacks; actions && actions->connected) {
            actions->connected();
        }
        if (this->open) {
            this->flush(true);
        }
    }

    void receive() {
        std::array<char, internal::read_buffer_bytes> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
        int count = 0;
        try {
            count = this->socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        } catch (const Poco::Exception& error) {
            if (!internal::is_temporary(error)) {
                this->close_and_notify(true);
            }
            return;
        }
        if (count == 0) {
            this->close_and_notify(false);
        } else if (const auto actions = this->callbacks; count > 0 && actions && actions->received) {
            actions->received({buffer.data(), static_cast<std::size_t>(count)});
        }
    }

    void wait_for_reader() {
        if (this->timing.waits_for_reader) {
            internal::limit_unacknowledged(this->socket, milliseconds::zero());
        }
    }

    /*! @brief Looks whether the peer acknowledges, until everything is acknowledged. */
    void watch_acknowledgements() {
        this->acknowledgement_timer = this->loop.after(
            this->timing.unacknowledged / internal::looks_per_longest_silence, [weak_state = this->weak_from_this()] {
                if (const auto state = weak_state.lock()) {
                    state->acknowledgement_timer = 0U;
                    state->run_or_close([&state] { state->examine_acknowledgements(); });
                }
            });
    }

    void examine_acknowledgements() {
        using state = internal::acknowledgement_watch::state;
        switch (this->acknowledgements.examine(this->socket, this->loop.now())) {
        case state::settled:
            break;
        case state::waiting:
            this->watch_acknowledgements();
            break;
        case state::silent:
            this->close_and_notify(true);
            break;
        }
    }

    /*! @brief Frees the part of the buffer that was sent; most of a large buffer would be moved too often otherwise. */
    void drop_sent() {
        if (this->pending_bytes() == 0U) {
            this->send_buffer.clear();
            this->send_offset = 0U;
        } else if (this->send_offset >= std::max(internal::min_compaction_bytes, this->pending_bytes())) {
            this->send_buffer.erase(0U, this->send_offset);
            this->send_offset = 0U;
        }
    }

    /*! @brief Gives up a failed connection; reported from a timer, because the caller of `send` may hold references. */
    void discard_unsent() {
        this->send_failed = true;
        this->send_offset = this->send_buffer.size();
        this->loop.after(duration::zero(), [weak_state = this->weak_from_this()] {
            if (const auto state = weak_state.lock()) {
                state->close_and_notify(true);
            }
        });
    }

    void flush(const bool notify) {
        if (this->connecting || !this->open || this->pending_bytes() == 0U) {
            return;
        }
        try {
            while (this->pending_bytes() > 0U) {
                const int count = this->socket.sendBytes(this->send_buffer.data() + this->send_offset,
                                                         static_cast<int>(this->pending_bytes()));
                if (count < 0) {
                    break;
                }
                this->sent_any = true;
                if (this->timing.waits_for_reader && this->acknowledgement_timer == 0U) {
                    this->acknowledgements.begin(this->loop.now());
                    this->watch_acknowledgements();
                }
                this->send_offset += static_cast<std::size_t>(count);
            }
        } catch (const Poco::Exception& error) {
            // Sending resumes when a full socket is writable again.
            if (!internal::is_temporary(error)) {
                this->discard_unsent();
                return;
            }
        }
        this->drop_sent();
        this->update_modes();
        if (const auto actions = this->callbacks;
            notify && this->pending_bytes() == 0U && actions && actions->drained) {
            actions->drained();
        }
    }
};

result<std::unique_ptr<stream>> stream::connect(event_loop& loop, const std::string& endpoint,
                                                const stream_timing& timing, events callbacks) {
    try {
        const Poco::Net::SocketAddress address{endpoint};
        Poco::Net::StreamSocket socket{address.family()};
        internal::configure(socket, timing);
        socket.connectNB(address);
        auto state = std::make_shared<implementation>(loop, socket, timing, std::move(callbacks));
        state->connecting = true;
        state->watch();
        return std::unique_ptr<stream>{new stream{std::move(state)}};
    } catch (const Poco::Exception& error) {
        return boost::leaf::new_error(
            network_error{network_error::code::connect_failed, endpoint, error.displayText()});
    }
}

stream::stream(std::shared_ptr<implementation> state) noexcept : self{std::move(state)} {}

stream::stream(event_loop& loop, const Poco::Net::StreamSocket& accepted, const stream_timing& timing, events callbacks)
    : self{std::make_shared<implementation>(loop, accepted, timing, std::move(callbacks))} {
    internal::configure(this->self->socket, timing);
    this->self->wait_for_reader();
    this->self->watch();
}

stream::~stream() {
    this->self->callbacks.reset();
    this->self->close();
}

void stream::send(const std::string_view bytes) {
    this->self->send_buffer.append(bytes);
    this->self->flush(false);
}

std::size_t stream::unsent() const noexcept {
    return this->self->pending_bytes();
}

bool stream::has_sent() const noexcept {
    return this->self->sent_any;
}

void stream::pause_reading(const bool paused) {
    if (this->self->paused != paused) {
        this->self->paused = paused;
        this->self->update_modes();
    }
}

void stream::finish_sending() noexcept {
    try {
        this->self->socket.shutdownSend();
    } catch (const Poco::Exception&) { // NOLINT(bugprone-empty-catch)
        // The peer has closed the connection already.
    }
}

void stream::reset_on_close() noexcept {
    try {
        this->self->socket.setLinger(true, 0);
    } catch (const Poco::Exception&) { // NOLINT(bugprone-empty-catch)
        // The connection has failed already.
    }
}

struct stream_listener::implementation {
    event_loop& loop;
    std::string address;
    accepted_callback action;
    Poco::Net::ServerSocket socket{};
    /*! @brief Why connections that wait cannot be accepted now. */
    std::optional<port_error> accept_failure{};
    timer_id resume_timer{};
    port_binding binding{this->loop, this->address, [this] { this->open(); }};

    implementation(event_loop& owner, std::string local_address, accepted_callback on_accepted)
        : loop{owner}, address{std::move(local_address)}, action{std::move(on_accepted)} {}

    void open() {
        Poco::Net::ServerSocket opened{};
        // Without SO_REUSEPORT, because two processes on one port would each receive a part of the connections.
        opened.bind(Poco::Net::SocketAddress{this->address}, true, false);
        opened.listen(internal::listen_backlog);
        opened.setBlocking(false);
        this->watch(opened);
        this->socket = opened;
    }

    void accept() {
        for (int count = 0; count < internal::max_accepts_per_turn; ++count) {
            const auto connection = this->next_connection();
            if (!connection) {
                return;
            }
            this->action(*connection);
        }
    }

    /*! @brief Accepts a connection; returns nothing if none waits, or none can be accepted now. */
    [[nodiscard]] std::optional<Poco::Net::StreamSocket> next_connection() {
        try {
            const bool waiting = this->socket.poll(Poco::Timespan{0}, Poco::Net::Socket::SELECT_READ);
            auto connection = waiting ? std::optional{this->socket.acceptConnection()} : std::nullopt;
            this->accept_failure.reset();
            return connection;
        } catch (const Poco::Net::ConnectionAbortedException&) {
            // The client has closed the connection already; the next turn goes on.
            return std::nullopt;
        } catch (const Poco::Exception& error) {
            this->pause(error);
            return std::nullopt;
        }
    }

    /*! @brief Stops accepting for a moment. Without a free file descriptor, for example, the connection goes on
     * waiting, and the loop would report it without end. */
    void pause(const Poco::Exception& error) {
        this->accept_failure = port_error{this->address, error.displayText()};
        this->loop.forget(this->socket);
        this->resume_timer = this->loop.after(internal::accept_pause, [this] {
            this->watch(this->socket);
            this->accept();
        });
    }

    void watch(const Poco::Net::ServerSocket& listening) {
        this->loop.watch(listening, Poco::Net::PollSet::POLL_READ, [this](int) { this->accept(); });
    }
};

stream_listener::stream_listener(event_loop& loop, const std::string& address, accepted_callback action)
    : self{std::make_unique<implementation>(loop, address, std::move(action))} {}

stream_listener::~stream_listener() {
    this->self->loop.cancel(this->self->resume_timer);
    if (!this->self->binding.failure()) {
        this->self->loop.forget(this->self->socket);
        this->self->socket.close();
    }
}

std::optional<port_error> stream_listener::failure() const {
    const auto& unbound = this->self->binding.failure();
    return unbound ? unbound : this->self->accept_failure;
}

std::uint16_t stream_listener::port() const {
    return this->self->socket.address().port();
}

} // namespace mangopulley
