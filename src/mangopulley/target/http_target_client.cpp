#include "http_target_client.hpp"

#include <algorithm>
#include <charconv>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>

#include "../http/http_session.hpp"

namespace mangopulley {

namespace internal {

// A target may close an idle connection just as a request is written, which leaves the outcome unknown. Requests that
// must not run twice therefore reuse only recently used connections, well within any keep-alive timeout of a target.
constexpr auto max_idle_non_idempotent = std::chrono::seconds{1};
constexpr auto max_idle = std::chrono::seconds{20};
constexpr milliseconds cancel_timeout{50};

struct idle_connection {
    std::unique_ptr<http_session> session;
    time_point since;
};

[[nodiscard]] std::optional<std::uint32_t> parse_load_field(const std::string_view text, const std::string_view name) {
    const auto begin = text.find(name);
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    const auto* first = text.data() + begin + name.size();
    std::uint32_t value{};
    const auto parsed = std::from_chars(first, text.data() + text.size(), value);
    return parsed.ec == std::errc{} ? std::optional{value} : std::nullopt;
}

[[nodiscard]] std::optional<load_report> parse_load(const std::string_view text) {
    const auto in_flight = parse_load_field(text, "in_flight=");
    const auto queued = parse_load_field(text, "queue=");
    if (!in_flight || !queued) {
        return std::nullopt;
    }
    return load_report{*in_flight, *queued};
}

constexpr const char* request_id_field = "Request-Id";
constexpr const char* shed_field = "Shed";

/*! @brief Returns the id of the request that an answer belongs to; empty when it names none. */
[[nodiscard]] std::string named_request(const Poco::Net::HTTPResponse& response) {
    return response.get(request_id_field, response.get(shed_field, ""));
}

[[nodiscard]] boost::leaf::error_id make_target_error(const enum target_error::code code,
                                                      const std::string_view endpoint, std::string detail,
                                                      const bool draining = false) {
    return boost::leaf::new_error(target_error{code, std::string{endpoint}, std::move(detail), draining});
}

} // namespace internal

struct http_target_client::implementation : std::enable_shared_from_this<implementation> {
    const clock& time;
    milliseconds connect_timeout;
    std::size_t connections_per_target;
    std::mutex idle_mutex{};
    std::map<std::string, std::vector<internal::idle_connection>, std::less<>> idle_connections{};

    implementation(const clock& source, const milliseconds timeout, const std::size_t connections) noexcept
        : time{source}, connect_timeout{timeout}, connections_per_target{connections} {}

    [[nodiscard]] std::unique_ptr<http_session> acquire(const std::string_view endpoint, const duration max_age) {
        const std::lock_guard lock{this->idle_mutex};
        const auto position = this->idle_connections.find(endpoint);
        if (position == this->idle_connections.end()) {
            return nullptr;
        }
        auto& connections = position->second;
        while (!connections.empty()) {
            // The most recently used connection is at the back.
            auto connection = std::move(connections.back());
            connections.pop_back();
            if (this->time.now() - connection.since <= max_age && connection.session->usable()) {
                return std::move(connection.session);
            }
        }
        return nullptr;
    }

    void release(const std::string& endpoint, std::unique_ptr<http_session> session) {
        const std::lock_guard lock{this->idle_mutex};
        auto& connections = this->idle_connections[endpoint];
        if (connections.size() < this->connections_per_target) {
            connections.push_back({std::move(session), this->time.now()});
        }
    }

    [[nodiscard]] std::unique_ptr<http_session> connect(const std::string& endpoint, const time_point deadline) const {
        const auto limit = std::min(this->connect_timeout, this->remaining(deadline));
        return http_session::connect(endpoint, std::max(limit, milliseconds{1}));
    }

    [[nodiscard]] std::string deadline_text(const time_point deadline) const {
        const auto remaining = std::chrono::duration_cast<milliseconds>(deadline - this->time.now());
        const auto wall = std::chrono::time_point_cast<milliseconds>(this->time.wall()) + remaining;
        return std::to_string(wall.time_since_epoch().count());
    }

    [[nodiscard]] milliseconds remaining(const time_point deadline) const {
        return std::chrono::duration_cast<milliseconds>(deadline - this->time.now());
    }
};

namespace internal {

/*! @brief Connection that a request is sent on. */
struct request_connection {
    std::unique_ptr<http_session> session{};
    /*! @brief Whether it carried other requests before, whose late answers may come. */
    bool used{};
};

class http_exchange final : public exchange {
public:
    http_exchange(std::shared_ptr<http_target_client::implementation> owner, std::string endpoint,
                  std::string request_id, request_connection open)
        : pool{std::move(owner)}, address{std::move(endpoint)}, id{std::move(request_id)}, connection{std::move(open)} {
    }

    [[nodiscard]] result<target_answer> receive(const time_point deadline) override {
        const auto remaining = this->pool->remaining(deadline);
        if (remaining.count() <= 0) {
            return make_target_error(target_error::code::timed_out, this->address, "deadline passed");
        }
        try {
            this->connection.session->limit_receive(remaining);
            Poco::Net::HTTPResponse http_response{};
            target_answer response{};
            response.body = this->receive_own(http_response);
            response.status = http_response.getStatus();
            response.content_type = http_response.getContentType();
            response.load = parse_load(http_response.get("Load", ""));
            response.draining = http_response.get("Draining", "0") == "1";
            auto session = std::move(this->connection.session);
            if (http_response.getKeepAlive() && !response.draining && !this->answer_too_many &&
                http_response.get(request_id_field, "") == this->id) {
                this->pool->release(this->address, std::move(session));
            }
            if (response.status == Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE &&
                http_response.get(shed_field, "") == this->id) {
                return make_target_error(target_error::code::shed, this->address, "shed by the target",
                                         response.draining);
            }
            return response;
        } catch (const Poco::TimeoutException& error) {
            return make_target_error(target_error::code::timed_out, this->address, error.displayText());
        } catch (const Poco::Net::MessageException& error) {
            return make_target_error(target_error::code::malformed, this->address, error.displayText());
        } catch (const Poco::Exception& error) {
            return make_target_error(target_error::code::broken, this->address, error.displayText());
        }
    }

    void cancel() noexcept override {
        this->connection.session.reset();
        try {
            // Best effort, on a separate connection: the request's own connection may still carry the response.
            const auto session = http_session::connect(this->address, cancel_timeout);
            Poco::Net::HTTPRequest request{Poco::Net::HTTPRequest::HTTP_DELETE, "/work/" + this->id,
                                           Poco::Net::HTTPMessage::HTTP_1_1};
            request.setHost(this->address);
            request.setContentLength(0);
            request.setKeepAlive(false);
            session->limit_receive(cancel_timeout);
            session->send(request, {});
            Poco::Net::HTTPResponse response{};
            static_cast<void>(session->receive(response));
        } catch (const Poco::Exception&) { // NOLINT(bugprone-empty-catch)
            // The target may be gone; the response to the caller does not depend on it.
        }
    }

    [[nodiscard]] Poco::Net::StreamSocket& socket() noexcept { return this->connection.session->socket(); }

private:
    /*! @brief Reads the answer to this request and passes over late ones to earlier requests. An answer without an id
     * counts only where nothing was sent before. */
    [[nodiscard]] std::string receive_own(Poco::Net::HTTPResponse& response) {
        while (true) {
            auto body = this->connection.session->receive(response);
            const auto named = named_request(response);
            if (named.empty() ? !this->connection.used : named == this->id) {
                return body;
            }
            if (named.empty() || !this->connection.used) {
                throw Poco::Net::MessageException{"answer names another request or none"};
            }
            this->answer_too_many = true;
        }
    }

    std::shared_ptr<http_target_client::implementation> pool;
    std::string address;
    std::string id;
    request_connection connection;
    bool answer_too_many{};
};

} // namespace internal

http_target_client::http_target_client(const clock& time, const milliseconds connect_timeout,
                                       const std::size_t connections_per_target)
    : self{std::make_shared<implementation>(time, connect_timeout, connections_per_target)} {}

http_target_client::~http_target_client() = default;

result<std::unique_ptr<exchange>> http_target_client::begin(const std::string_view endpoint,
                                                            const target_request& request) {
    const std::string address{endpoint};
    internal::request_connection connection{};
    try {
        connection.session =
            this->self->acquire(endpoint, request.idempotent ? internal::max_idle : internal::max_idle_non_idempotent);
        connection.used = connection.session != nullptr;
        if (!connection.used) {
            connection.session = this->self->connect(address, request.deadline);
        }
    } catch (const Poco::Exception& error) {
        return internal::make_target_error(target_error::code::not_sent, endpoint, error.displayText());
    }
    try {
        Poco::Net::HTTPRequest http_request{Poco::Net::HTTPRequest::HTTP_POST, "/work/" + request.kind,
                                            Poco::Net::HTTPMessage::HTTP_1_1};
        http_request.setHost(address);
        http_request.setContentLength(static_cast<std::streamsize>(request.body.size()));
        http_request.setContentType(request.content_type);
        http_request.set(internal::request_id_field, request.request_id);
        http_request.set("Deadline-Unix-Ms", this->self->deadline_text(request.deadline));
        if (!request.traceparent.empty()) {
            http_request.set("traceparent", request.traceparent);
        }
        connection.session->send(http_request, request.body);
    } catch (const Poco::Exception& error) {
        return internal::make_target_error(target_error::code::broken, endpoint, error.displayText());
    }
    return std::unique_ptr<exchange>{
        std::make_unique<internal::http_exchange>(this->self, address, request.request_id, std::move(connection))};
}

std::optional<std::size_t> http_target_client::wait_any(const std::span<exchange* const> open, const time_point until) {
    Poco::Net::Socket::SocketList readable{};
    Poco::Net::Socket::SocketList writable{};
    Poco::Net::Socket::SocketList failed{};
    for (auto* pending : open) {
        readable.push_back(static_cast<internal::http_exchange*>(pending)->socket());
    }
    const auto remaining = std::chrono::duration_cast<std::chrono::microseconds>(until - this->self->time.now());
    const Poco::Timespan wait{std::max<Poco::Timespan::TimeDiff>(remaining.count(), 0)};
    if (Poco::Net::Socket::select(readable, writable, failed, wait) <= 0 || readable.empty()) {
        return std::nullopt;
    }
    for (std::size_t index = 0U; index < open.size(); ++index) {
        if (static_cast<internal::http_exchange*>(open[index])->socket() == readable.front()) {
            return index;
        }
    }
    return std::nullopt;
}

result<load_report> http_target_client::probe(const std::string_view endpoint, const time_point deadline) {
    const std::string address{endpoint};
    try {
        // A connection of its own: a probe has no id by which late answers to requests could be told apart.
        const auto session = this->self->connect(address, deadline);
        Poco::Net::HTTPRequest http_request{Poco::Net::HTTPRequest::HTTP_GET, "/load",
                                            Poco::Net::HTTPMessage::HTTP_1_1};
        http_request.setHost(address);
        http_request.setContentLength(0);
        http_request.setKeepAlive(false);
        http_request.set("Deadline-Unix-Ms", this->self->deadline_text(deadline));
        session->limit_receive(this->self->remaining(deadline));
        session->send(http_request, {});
        Poco::Net::HTTPResponse response{};
        static_cast<void>(session->receive(response));
        const auto report = internal::parse_load(response.get("Load", ""));
        if (!report) {
            return internal::make_target_error(target_error::code::malformed, endpoint,
                                               "response has no valid Load header");
        }
        return *report;
    } catch (const Poco::Exception& error) {
        return internal::make_target_error(target_error::code::broken, endpoint, error.displayText());
    }
}

} // namespace mangopulley
