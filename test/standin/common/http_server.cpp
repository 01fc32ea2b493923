#include "http_server.hpp"

#include <array>
#include <cerrno>
#include <charconv>
#include <sstream>
#include <unordered_map>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/String.h>
#include <Poco/URI.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include "descriptor.hpp"

namespace standin {

namespace {

constexpr std::size_t longest_head = 65'536U;
constexpr std::size_t longest_body = 8'388'608U;
constexpr std::string_view end_of_head = "\r\n\r\n";

class tcp_connection;

} // namespace

struct http_server::implementation {
    event_loop& loop;
    http_server_options options;
    handler action;
    std::uint16_t port;
    descriptor listener;
    bool accepting{true};
    std::uint64_t accepted{};
    std::unordered_map<const http_connection*, std::shared_ptr<tcp_connection>> connections{};

    void accept_waiting();
    void remove(const tcp_connection* connection);
};

namespace {

class tcp_connection final : public http_connection, public std::enable_shared_from_this<tcp_connection> {
public:
    tcp_connection(http_server::implementation& owner, descriptor accepted)
        : server{owner}, socket{std::move(accepted)} {}

    void start() {
        const auto weak = this->weak_from_this();
        this->server.loop.watch(this->socket.get(), EPOLLIN, [weak](const std::uint32_t events) {
            if (const auto connection = weak.lock()) {
                connection->serve(events);
            }
        });
    }

    void respond(const http_response& response) override {
        if (!this->socket.valid() || !this->busy) {
            return;
        }
        this->output += to_bytes(response, this->keep_alive);
        this->closing = this->closing || !this->keep_alive;
        this->busy = false;
        this->closed_action = nullptr;
        this->flush();
        if (!this->handling && this->socket.valid()) {
            this->handle_buffered();
        }
    }

    void send(const std::string_view bytes) override {
        if (this->socket.valid()) {
            this->output += bytes;
            this->flush();
        }
    }

    void send_and_close(std::string bytes) override {
        if (this->socket.valid()) {
            this->output += bytes;
            this->closing = true;
            this->flush();
        }
    }

    void close() override {
        if (!this->socket.valid()) {
            return;
        }
        const auto alive = this->shared_from_this();
        this->server.loop.forget(this->socket.get());
        this->socket.close();
        this->server.remove(this);
        if (const auto action = std::exchange(this->closed_action, nullptr)) {
            action();
        }
    }

    void reset() override {
        if (this->socket.valid()) {
            reset_at_close(this->socket);
            this->close();
        }
    }

    void on_closed(std::function<void()> action) override { this->closed_action = std::move(action); }

private:
    void serve(const std::uint32_t events) {
        if ((events & EPOLLOUT) != 0U) {
            this->flush();
        }
        if (this->socket.valid() && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0U && this->read()) {
            this->handle_buffered();
        }
    }

    // Reads what has arrived; false when the client closed the connection.
    [[nodiscard]] bool read() {
        std::array<char, 65'536U> buffer{};
        for (;;) {
            const auto count = ::recv(this->socket.get(), buffer.data(), buffer.size(), 0);
            if (count > 0) {
                this->input.append(buffer.data(), static_cast<std::size_t>(count));
                if (static_cast<std::size_t>(count) < buffer.size()) {
                    return true;
                }
                continue;
            }
            if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
                return true;
            }
            this->close();
            return false;
        }
    }

    void flush() {
        while (!this->output.empty()) {
            const auto count = ::send(this->socket.get(), this->output.data(), this->output.size(), MSG_NOSIGNAL);
            if (count < 0) {
                if (errno == EAGAIN || errno == EINTR) {
                    this->server.loop.change(this->socket.get(), EPOLLIN | EPOLLOUT);
                    this->waits_for_output = true;
                } else {
                    this->close();
                }
                return;
            }
            this->output.erase(0U, static_cast<std::size_t>(count));
        }
        if (this->closing) {
            this->close();
        } else if (std::exchange(this->waits_for_output, false)) {
            this->server.loop.change(this->socket.get(), EPOLLIN);
        }
    }

    void handle_buffered() {
        const auto alive = this->shared_from_this();
        this->handling = true;
        http_request request{};
        while (this->socket.valid() && !this->busy && !this->closing && this->parse(request)) {
            this->busy = true;
            request.port = this->server.port;
            this->server.action(std::move(request), alive);
            request = http_request{};
        }
        this->handling = false;
    }

    void reject(const int status) {
        this->keep_alive = false;
        this->busy = true;
        this->respond({status, {}, "text/plain", {}});
    }

    [[nodiscard]] bool parse(http_request& request) {
        const auto head_end = this->input.find(end_of_head);
        if (head_end == std::string::npos) {
            if (this->input.size() > longest_head) {
                this->reject(431);
            }
            return false;
        }
        const auto line_end = this->input.find("\r\n");
        std::istringstream line{this->input.substr(0U, line_end)};
        std::string target{};
        std::string version{};
        line >> request.method >> target >> version;
        try {
            std::istringstream fields{this->input.substr(line_end + 2U, head_end + 2U - line_end)};
            if (line_end < head_end) {
                request.headers.read(fields);
            }
            const Poco::URI uri{target};
            request.path = uri.getPath();
            for (const auto& [name, value] : uri.getQueryParameters()) {
                request.query[name] = value;
            }
        } catch (const Poco::Exception&) {
            this->reject(400);
            return false;
        }
        const auto length_text = request.headers.get("Content-Length", "0");
        std::size_t length{};
        const auto parsed = std::from_chars(length_text.data(), length_text.data() + length_text.size(), length);
        if (parsed.ec != std::errc{} || request.headers.has("Transfer-Encoding")) {
            this->reject(411);
            return false;
        }
        if (length > longest_body) {
            this->reject(413);
            return false;
        }
        const auto body_begin = head_end + end_of_head.size();
        if (this->input.size() < body_begin + length) {
            request = http_request{};
            return false;
        }
        request.body = this->input.substr(body_begin, length);
        this->input.erase(0U, body_begin + length);
        this->keep_alive = version == "HTTP/1.1" && Poco::icompare(request.headers.get("Connection", ""), "close") != 0;
        return true;
    }

    http_server::implementation& server;
    descriptor socket;
    std::string input{};
    std::string output{};
    std::function<void()> closed_action{};
    bool busy{};
    bool handling{};
    bool closing{};
    bool keep_alive{true};
    bool waits_for_output{};
};

} // namespace

void http_server::implementation::accept_waiting() {
    while (this->connections.size() < this->options.most_connections) {
        auto socket = accept_one(this->listener);
        if (!socket.valid()) {
            return;
        }
        ++this->accepted;
        const auto connection = std::make_shared<tcp_connection>(*this, std::move(socket));
        this->connections[connection.get()] = connection;
        if (this->options.accept_delay.count() > 0) {
            const std::weak_ptr<tcp_connection> weak{connection};
            this->loop.after(this->options.accept_delay, [weak] {
                if (const auto waiting = weak.lock()) {
                    waiting->start();
                }
            });
        } else {
            connection->start();
        }
    }
    this->loop.change(this->listener.get(), 0U);
    this->accepting = false;
}

void http_server::implementation::remove(const tcp_connection* connection) {
    this->connections.erase(connection);
    if (!this->accepting && this->connections.size() < this->options.most_connections) {
        this->accepting = true;
        this->loop.change(this->listener.get(), EPOLLIN);
    }
}

http_server::http_server(event_loop& loop, const std::uint16_t port, const http_server_options options, handler action)
    : self{new implementation{loop, options, std::move(action), port, listen_on(port)}} {
    loop.watch(this->self->listener.get(), EPOLLIN, [this](std::uint32_t) { this->self->accept_waiting(); });
}

http_server::~http_server() {
    this->close_all_but(nullptr);
    this->self->loop.forget(this->self->listener.get());
}

std::uint64_t http_server::accepted() const noexcept {
    return this->self->accepted;
}

std::size_t http_server::open() const noexcept {
    return this->self->connections.size();
}

void http_server::close_all_but(const http_connection* kept) {
    const auto all = this->self->connections;
    for (const auto& [key, connection] : all) {
        if (key != kept) {
            connection->close();
        }
    }
}

std::uint64_t http_request::number(const std::string& name, const std::uint64_t fallback) const {
    const auto position = this->query.find(name);
    if (position == this->query.end()) {
        return fallback;
    }
    const auto& text = position->second;
    std::uint64_t value{};
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size() ? value : fallback;
}

std::string to_bytes(const http_response& response, const bool keep_alive) {
    const auto status = static_cast<Poco::Net::HTTPResponse::HTTPStatus>(response.status);
    std::string bytes = "HTTP/1.1 " + std::to_string(response.status) + ' ' +
                        Poco::Net::HTTPResponse::getReasonForStatus(status) + "\r\n";
    for (const auto& [name, value] : response.headers) {
        bytes.append(name).append(": ").append(value).append("\r\n");
    }
    if (response.status != 304 && response.status != 204) {
        bytes.append("Content-Type: ").append(response.content_type);
        bytes.append("\r\nContent-Length: ").append(std::to_string(response.body.size())).append("\r\n");
    }
    bytes += keep_alive ? "Connection: Keep-Alive\r\n\r\n" : "Connection: Close\r\n\r\n";
    return bytes + response.body;
}

} // namespace standin
