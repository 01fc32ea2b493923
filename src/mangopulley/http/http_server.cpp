#include "http_server.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>
#include <utility>
#include <vector>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include "request_parser.hpp"

namespace mangopulley {

namespace internal {

constexpr std::size_t quick_workers = 8U;
constexpr std::size_t read_size = 16'384U;
constexpr int listen_backlog = 512;
// Bounds how late the server notices connections handed back for idling or expiry.
constexpr Poco::Timespan::TimeDiff poll_period_us = 100'000;

/*! @brief One connection; owned by the collecting thread, or by a worker while a request is answered. */
struct http_connection {
    Poco::Net::StreamSocket socket;
    request_parser parser;
    std::string unsent{};
    /*! @brief When the collecting thread began to wait for the connection. */
    time_point since{};
    /*! @brief When the first byte of the request arrived; a trickle of bytes cannot extend the time limit. */
    time_point begun{};
    bool close_after_send{};
};

using connection_pointer = std::shared_ptr<http_connection>;

struct pending_request {
    connection_pointer connection;
    http_request request;
};

/*! @brief Threads that take requests from one queue. */
class worker_pool {
public:
    worker_pool(const std::size_t count, std::function<void(pending_request&&)> job) : work{std::move(job)} {
        this->threads.reserve(count);
        for (std::size_t index = 0U; index < count; ++index) {
            this->threads.emplace_back([this] { this->loop(); });
        }
    }

    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;
    ~worker_pool() { this->stop(); }

    void push(pending_request&& item) {
        {
            const std::lock_guard lock{this->guard};
            this->queue.push_back(std::move(item));
        }
        this->wake.notify_one();
    }

    /*! @brief Answers what is queued and ends. */
    void stop() {
        {
            const std::lock_guard lock{this->guard};
            this->stopping = true;
        }
        this->wake.notify_all();
        for (auto& thread : this->threads) {
            if (thread.joinable()) {
                thread.join();
            }
        }
    }

    [[nodiscard]] std::size_t waiting() const {
        const std::lock_guard lock{this->guard};
        return this->queue.size();
    }

    [[nodiscard]] std::size_t busy() const noexcept { return this->active.load(); }

private:
    void loop() {
        while (true) {
            std::unique_lock lock{this->guard};
            this->wake.wait(lock, [this] { return this->stopping || !this->queue.empty(); });
            if (this->queue.empty()) {
                return;
            }
            auto item = std::move(this->queue.front());
            this->queue.pop_front();
            lock.unlock();
            this->active.fetch_add(1U);
            this->work(std::move(item));
            this->active.fetch_sub(1U);
        }
    }

    std::function<void(pending_request&&)> work;
    mutable std::mutex guard{};
    std::condition_variable wake{};
    std::deque<pending_request> queue{};
    std::atomic<std::size_t> active{};
    bool stopping{};
    std::vector<std::thread> threads{};
};

/*! @brief Returns the bytes of a reply; one to HEAD has no body. */
[[nodiscard]] std::string serialize(const http_reply& reply, const bool keep_alive, const bool is_head) {
    Poco::Net::HTTPResponse response{static_cast<Poco::Net::HTTPResponse::HTTPStatus>(reply.status)};
    response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(response.getStatus()));
    response.setContentLength(static_cast<std::streamsize>(reply.body.size()));
    response.setContentType(reply.content_type);
    response.setKeepAlive(keep_alive);
    for (const auto& header : reply.headers) {
        response.set(header.name, header.value);
    }
    std::ostringstream stream{};
    response.write(stream);
    auto text = std::move(stream).str();
    if (!is_head) {
        text.append(reply.body);
    }
    return text;
}

[[nodiscard]] std::string rejection_body(const int status, const std::string_view reason) {
    std::string body{R"({"type":"about:blank","outcome":"not-run","status":)"};
    body.append(std::to_string(status)).append(R"(,"title":")").append(reason).append("\"}");
    return body;
}

} // namespace internal

struct http_server::implementation {
    std::string label;
    std::string address;
    std::size_t worker_count;
    http_limits limits;
    handler action;

    Poco::Net::ServerSocket listener{};
    Poco::Net::PollSet polled{};
    mutable std::mutex guard{};
    /*! @brief Connections that the collecting thread polls; guarded by `guard`. */
    std::map<Poco::Net::Socket, internal::connection_pointer> connections{};
    std::atomic<bool> draining{};
    std::atomic<bool> stopping{};
    std::atomic<std::size_t> open{};
    std::atomic<std::uint64_t> accepted{};
    std::atomic<std::uint64_t> rejected{};
    std::unique_ptr<internal::worker_pool> workers{};
    std::unique_ptr<internal::worker_pool> quick{};
    std::thread collector{};

    implementation(std::string name, std::string listen_address, const std::size_t count, const http_limits& bounds,
                   handler callback)
        : label{std::move(name)}, address{std::move(listen_address)},
          worker_count{count}, limits{bounds}, action{std::move(callback)} {}

    void watch(const internal::connection_pointer& connection, const int mode) {
        connection->since = std::chrono::steady_clock::now();
        const std::lock_guard lock{this->guard};
        this->connections[connection->socket] = connection;
        this->polled.add(connection->socket, mode);
    }

    [[nodiscard]] internal::connection_pointer unwatch(const Poco::Net::Socket& socket) {
        const std::lock_guard lock{this->guard};
        const auto position = this->connections.find(socket);
        if (position == this->connections.end()) {
            return nullptr;
        }
        auto connection = std::move(position->second);
        this->connections.erase(position);
        this->polled.remove(socket);
        return connection;
    }

    void drop(const internal::connection_pointer& connection) noexcept {
        this->open.fetch_sub(1U);
        try {
            connection->socket.close();
        } catch (const Poco::Exception&) { // NOLINT(bugprone-empty-catch)
            // The caller has closed it already.
        }
    }

    void accept() {
        auto socket = this->listener.acceptConnection();
        if (this->open.load() >= this->limits.most_connections) {
            socket.close();
            return;
        }
        socket.setBlocking(false);
        socket.setNoDelay(true);
        this->open.fetch_add(1U);
        this->accepted.fetch_add(1U);
        this->watch(std::make_shared<internal::http_connection>(
                        internal::http_connection{socket, request_parser{this->limits}}),
                    Poco::Net::PollSet::POLL_READ);
    }

    /*! @brief Sends as much as the socket takes; the collecting thread sends the rest. */
    void send(const internal::connection_pointer& connection) {
        try {
            while (!connection->unsent.empty()) {
                const int count = connection->socket.sendBytes(connection->unsent.data(),
                                                               static_cast<int>(connection->unsent.size()));
                if (count < 0) {
                    this->watch(connection, Poco::Net::PollSet::POLL_WRITE);
                    return;
                }
                connection->unsent.erase(0U, static_cast<std::size_t>(count));
            }
        } catch (const Poco::TimeoutException&) {
            this->watch(connection, Poco::Net::PollSet::POLL_WRITE);
            return;
        } catch (const Poco::Exception&) {
            this->drop(connection);
            return;
        }
        if (connection->close_after_send) {
            this->drop(connection);
        } else {
            this->proceed(connection);
        }
    }

    void reject(const internal::connection_pointer& connection, const int status, const std::string_view reason) {
        this->rejected.fetch_add(1U);
        http_reply reply{};
        reply.status = status;
        reply.content_type = "application/problem+json";
        reply.body = internal::rejection_body(status, reason);
        reply.headers.push_back({"Mangopulley-Outcome", "not-run"});
        connection->unsent = internal::serialize(reply, false, connection->parser.head().is_head());
        connection->close_after_send = true;
        this->send(connection);
    }

    /*! @brief Hands a whole request to a worker, or goes on waiting for the rest of one. */
    void proceed(const internal::connection_pointer& connection) {
        switch (connection->parser.examine()) {
        case request_parser::state::incomplete:
            if (connection->parser.take_continue_expected()) {
                connection->unsent = "HTTP/1.1 100 Continue\r\n\r\n";
                this->send(connection);
            } else {
                this->watch(connection, Poco::Net::PollSet::POLL_READ);
            }
            break;
        case request_parser::state::rejected:
            this->reject(connection, connection->parser.rejection_status(), connection->parser.rejection_reason());
            break;
        case request_parser::state::complete:
            this->hand_over(connection);
            break;
        }
    }

    void hand_over(const internal::connection_pointer& connection) {
        internal::pending_request item{connection, connection->parser.take()};
        item.request.received = std::chrono::steady_clock::now();
        // Bytes of a next request may already be there.
        connection->begun = item.request.received;
        const bool get = item.request.head.getMethod() == Poco::Net::HTTPRequest::HTTP_GET;
        (get ? this->quick : this->workers)->push(std::move(item));
    }

    void answer(internal::pending_request&& item) {
        const bool keep_alive = item.request.head.getKeepAlive() && !this->draining.load();
        const bool is_head = item.request.is_head();
        const auto reply = this->action(std::move(item.request));
        item.connection->unsent = internal::serialize(reply, keep_alive, is_head);
        item.connection->close_after_send = !keep_alive;
        this->send(item.connection);
    }

    void receive(const internal::connection_pointer& connection) {
        // Not set to zero: that was 11% of the instructions of a request.
        std::array<char, internal::read_size> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
        try {
            const int count = connection->socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
            if (count == 0) {
                this->drop(connection);
                return;
            }
            if (count > 0) {
                if (!connection->parser.started()) {
                    connection->begun = std::chrono::steady_clock::now();
                }
                connection->parser.append({buffer.data(), static_cast<std::size_t>(count)});
                this->proceed(connection);
                return;
            }
        } catch (const Poco::TimeoutException&) { // NOLINT(bugprone-empty-catch)
            // Woken without bytes; wait again.
        } catch (const Poco::Exception&) {
            this->drop(connection);
            return;
        }
        this->watch(connection, Poco::Net::PollSet::POLL_READ);
    }

    [[nodiscard]] bool overdue(const internal::http_connection& connection, const time_point now) const {
        if (!connection.unsent.empty()) {
            return now - connection.since >= this->limits.longest_send;
        }
        if (connection.parser.started()) {
            return now - connection.begun >= this->limits.longest_receive;
        }
        return this->draining.load() || now - connection.since >= this->limits.longest_idle;
    }

    void expire() {
        const auto now = std::chrono::steady_clock::now();
        std::vector<internal::connection_pointer> late{};
        {
            const std::lock_guard lock{this->guard};
            for (const auto& [socket, connection] : this->connections) {
                if (this->overdue(*connection, now)) {
                    late.push_back(connection);
                }
            }
        }
        for (const auto& connection : late) {
            if (!this->unwatch(connection->socket)) {
                continue;
            }
            if (connection->unsent.empty() && connection->parser.started()) {
                this->reject(connection, 408, "request not received in time");
            } else {
                this->drop(connection);
            }
        }
    }

    void collect() {
        auto next_expiry = std::chrono::steady_clock::now();
        while (!this->stopping.load()) {
            for (const auto& [socket, mode] : this->polled.poll(Poco::Timespan{internal::poll_period_us})) {
                this->serve(socket, mode);
            }
            if (std::chrono::steady_clock::now() >= next_expiry) {
                next_expiry = std::chrono::steady_clock::now() + std::chrono::microseconds{internal::poll_period_us};
                this->expire();
            }
        }
    }

    void serve(const Poco::Net::Socket& socket, const int mode) {
        try {
            if (socket == this->listener) {
                this->accept();
                return;
            }
        } catch (const Poco::Exception&) {
            return;
        }
        const auto connection = this->unwatch(socket);
        if (!connection) {
            return;
        }
        if ((mode & Poco::Net::PollSet::POLL_WRITE) != 0) {
            this->send(connection);
        } else {
            this->receive(connection);
        }
    }
};

http_server::http_server(std::string label, std::string address, const std::size_t workers, const http_limits& limits,
                         handler action)
    : self{std::make_unique<implementation>(std::move(label), std::move(address), workers, limits, std::move(action))} {
}

http_server::~http_server() {
    this->stop();
}

std::string_view http_server::name() const noexcept {
    return this->self->label;
}

void http_server::start() {
    auto& state = *this->self;
    // Without SO_REUSEPORT, which Poco sets by default: two processes on one port would each get a part of the callers.
    state.listener.bind(Poco::Net::SocketAddress{state.address}, true, false);
    state.listener.listen(internal::listen_backlog);
    state.listener.setBlocking(false);
    const auto job = [&state](internal::pending_request&& item) { state.answer(std::move(item)); };
    auto workers = std::make_unique<internal::worker_pool>(state.worker_count, job);
    auto quick = std::make_unique<internal::worker_pool>(internal::quick_workers, job);
    {
        // `numbers` is called from threads of other servers, which start earlier.
        const std::lock_guard lock{state.guard};
        state.workers = std::move(workers);
        state.quick = std::move(quick);
    }
    state.polled.add(state.listener, Poco::Net::PollSet::POLL_READ);
    state.collector = std::thread{[&state] { state.collect(); }};
}

void http_server::stop() noexcept {
    auto& state = *this->self;
    if (!state.collector.joinable()) {
        return;
    }
    state.draining = true;
    state.polled.remove(state.listener);
    state.listener.close();
    // Requests being received or sent end within their time limits; idle connections are closed by the next expiry.
    const auto latest = std::chrono::steady_clock::now() + state.limits.longest_receive + state.limits.longest_send;
    while (state.open.load() > 0U && std::chrono::steady_clock::now() < latest) {
        std::this_thread::sleep_for(milliseconds{20});
    }
    state.workers->stop();
    state.quick->stop();
    state.stopping = true;
    state.collector.join();
}

http_server::statistics http_server::numbers() const {
    const auto& state = *this->self;
    statistics numbers{};
    numbers.connections = state.open.load();
    numbers.accepted = state.accepted.load();
    numbers.rejected = state.rejected.load();
    const std::lock_guard lock{state.guard};
    if (state.workers) {
        numbers.waiting = state.workers->waiting() + state.quick->waiting();
        numbers.in_progress = state.workers->busy() + state.quick->busy();
    }
    return numbers;
}

} // namespace mangopulley
