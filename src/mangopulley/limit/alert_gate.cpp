#include "alert_gate.hpp"

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <stop_token>
#include <thread>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/URI.h>
#include <nlohmann/json.hpp>

#include "../http/http_session.hpp"

namespace mangopulley {

namespace internal {

// Time between the acknowledgement of an alert and the first refusal, so that the director knows before callers notice.
constexpr auto refusal_delay = std::chrono::seconds{1};
constexpr auto acknowledgement_lifetime = std::chrono::minutes{15};
constexpr auto retry_period = std::chrono::seconds{1};
constexpr milliseconds delivery_timeout{2000};

using alert_key = std::pair<std::string, limit_kind>;

struct alert_record {
    std::string detail{};
    bool pending{};
    std::optional<time_point> first_acknowledged{};
    std::optional<time_point> last_acknowledged{};
    std::optional<time_point> last_attempt{};
    std::uint64_t failures{};
};

[[nodiscard]] bool post_alert(const std::string& url, const std::string& body) {
    try {
        const Poco::URI uri{url};
        const auto address = uri.getHost() + ':' + std::to_string(uri.getPort());
        const auto session = http_session::connect(address, delivery_timeout);
        Poco::Net::HTTPRequest request{Poco::Net::HTTPRequest::HTTP_POST, uri.getPathAndQuery(),
                                       Poco::Net::HTTPMessage::HTTP_1_1};
        request.setHost(address);
        request.setContentType("application/json");
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        request.setKeepAlive(false);
        session->limit_receive(delivery_timeout);
        session->send(request, body);
        Poco::Net::HTTPResponse response{};
        static_cast<void>(session->receive(response));
        return response.getStatus() / 100 == 2;
    } catch (const Poco::Exception&) {
        return false;
    }
}

} // namespace internal

std::string_view to_string(const limit_kind limit) noexcept {
    switch (limit) {
    case limit_kind::requests_per_second:
        return "requests_per_second";
    case limit_kind::concurrent_and_waiting:
        return "concurrent_and_waiting";
    case limit_kind::store_required:
        return "store_required";
    }
    return "";
}

http_alert_sender::http_alert_sender(std::vector<std::string> endpoints) : urls{std::move(endpoints)} {}

bool http_alert_sender::send(const alert& message) {
    const nlohmann::json body{{"service", message.service},
                              {"limit", to_string(message.limit)},
                              {"instance", message.instance},
                              {"detail", message.detail}};
    const auto text = body.dump();
    for (const auto& url : this->urls) {
        if (internal::post_alert(url, text)) {
            return true;
        }
    }
    return false;
}

struct alert_gate::implementation {
    const clock& time;
    alert_sender& sender;
    std::string instance;
    mutable std::mutex guard{};
    std::condition_variable_any wake{};
    std::map<internal::alert_key, internal::alert_record> records{};
    std::jthread thread{};

    implementation(const clock& source, alert_sender& transport, std::string name)
        : time{source}, sender{transport}, instance{std::move(name)} {}

    [[nodiscard]] bool acknowledgement_valid(const internal::alert_record& record) const {
        return record.last_acknowledged &&
               this->time.now() - *record.last_acknowledged < internal::acknowledgement_lifetime;
    }

    [[nodiscard]] bool refusal_allowed(const internal::alert_record& record) const {
        return this->acknowledgement_valid(record) &&
               this->time.now() - *record.first_acknowledged >= internal::refusal_delay;
    }

    [[nodiscard]] bool delivery_due(const internal::alert_record& record) const {
        return record.pending &&
               (!record.last_attempt || this->time.now() - *record.last_attempt >= internal::retry_period);
    }

    [[nodiscard]] std::optional<internal::alert_key> next_due() const {
        for (const auto& [key, record] : this->records) {
            if (this->delivery_due(record)) {
                return key;
            }
        }
        return std::nullopt;
    }

    void deliver(const internal::alert_key& key, std::unique_lock<std::mutex>& lock) {
        auto& record = this->records[key];
        record.last_attempt = this->time.now();
        const alert message{key.first, key.second, this->instance, record.detail};
        lock.unlock();
        const bool acknowledged = this->sender.send(message);
        lock.lock();
        if (acknowledged) {
            const auto now = this->time.now();
            // The refusal delay starts again only if the previous acknowledgement has expired, not when it is renewed.
            if (!this->acknowledgement_valid(record)) {
                record.first_acknowledged = now;
            }
            record.last_acknowledged = now;
            record.pending = false;
        } else {
            ++record.failures;
        }
    }

    void loop(const std::stop_token& stop) {
        std::unique_lock lock{this->guard};
        while (!stop.stop_requested()) {
            if (const auto key = this->next_due()) {
                this->deliver(*key, lock);
            } else {
                this->wake.wait_for(lock, stop, internal::retry_period,
                                    [this] { return this->next_due().has_value(); });
            }
        }
    }
};

alert_gate::alert_gate(const clock& time, alert_sender& sender, std::string instance)
    : self{std::make_unique<implementation>(time, sender, std::move(instance))} {}

alert_gate::~alert_gate() {
    this->stop();
}

void alert_gate::raise(const std::string_view service, const limit_kind limit, const std::string_view detail) {
    {
        const std::lock_guard lock{this->self->guard};
        auto& record = this->self->records[{std::string{service}, limit}];
        if (record.pending || this->self->acknowledgement_valid(record)) {
            return;
        }
        record.pending = true;
        record.detail = detail;
    }
    this->self->wake.notify_one();
}

bool alert_gate::refusal_allowed(const std::string_view service, const limit_kind limit) const {
    const std::lock_guard lock{this->self->guard};
    const auto found = this->self->records.find({std::string{service}, limit});
    return found != this->self->records.end() && this->self->refusal_allowed(found->second);
}

std::vector<alert_gate::status> alert_gate::describe() const {
    const std::lock_guard lock{this->self->guard};
    std::vector<status> all{};
    for (const auto& [key, record] : this->self->records) {
        const auto age = record.last_acknowledged ? this->self->time.now() - *record.last_acknowledged : duration{};
        all.push_back({key.first, key.second, this->self->acknowledgement_valid(record), age, record.failures});
    }
    return all;
}

std::string_view alert_gate::name() const noexcept {
    return "alert_gate";
}

void alert_gate::start() {
    this->self->thread = std::jthread{[this](const std::stop_token& stop) { this->self->loop(stop); }};
}

void alert_gate::stop() noexcept {
    if (this->self->thread.joinable()) {
        this->self->thread.request_stop();
        this->self->thread.join();
    }
}

} // namespace mangopulley
