#include "senders.hpp"

#include <chrono>
#include <limits>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <nlohmann/json.hpp>

namespace bench {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds connect_timeout{1000};
constexpr milliseconds list_lifetime{5000};
// A caller waits a little longer than its deadline, so that the instance's own answer arrives.
constexpr milliseconds grace{500};

[[nodiscard]] Poco::Net::HTTPRequest make_post(const std::string& path, const std::string& host,
                                               const std::string& body) {
    Poco::Net::HTTPRequest request{Poco::Net::HTTPRequest::HTTP_POST, path, Poco::Net::HTTPMessage::HTTP_1_1};
    request.setHost(host);
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    return request;
}

[[nodiscard]] request_result classify(const std::string& outcome) {
    if (outcome == "answered") {
        return request_result::answered;
    }
    if (outcome == "not-run") {
        return request_result::not_run;
    }
    if (outcome == "refused") {
        return request_result::refused;
    }
    return request_result::unknown;
}

} // namespace

address_cache::address_cache(const workload& load, std::vector<std::string> instances, const bool spread)
    : load{load}, instances{std::move(instances)}, spread{spread} {}

std::shared_ptr<const address_cache::entry> address_cache::fetch(const std::size_t service,
                                                                 const std::size_t number) const {
    auto next = std::make_shared<entry>();
    next->fetched = std::chrono::steady_clock::now();
    for (std::size_t attempt = 0U; attempt < this->instances.size(); ++attempt) {
        const auto& instance = this->instances[(number + attempt) % this->instances.size()];
        try {
            const auto session = mangopulley::http_session::connect(instance, connect_timeout);
            Poco::Net::HTTPRequest request{Poco::Net::HTTPRequest::HTTP_GET,
                                           "/v1/addresses?service=" + this->load.services[service].name,
                                           Poco::Net::HTTPMessage::HTTP_1_1};
            request.setHost(instance);
            request.setContentLength(0);
            session->limit_receive(connect_timeout);
            session->send(request, {});
            Poco::Net::HTTPResponse response{};
            const auto answer = nlohmann::json::parse(session->receive(response), nullptr, false);
            if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK || !answer.is_object()) {
                continue;
            }
            next->order_token = answer.at("order_token").get<std::string>();
            for (const auto& item : answer.at("addresses")) {
                next->addresses.push_back(item.at("address").get<std::string>());
            }
            return next;
        } catch (const Poco::Exception&) {
            continue;
        }
    }
    return next;
}

std::shared_ptr<const address_cache::entry> address_cache::find(const std::size_t service, const std::size_t number) {
    std::shared_ptr<const entry> known{};
    {
        const std::lock_guard lock{this->guard};
        auto& slot = this->entries[service];
        if (!slot || std::chrono::steady_clock::now() - slot->fetched >= list_lifetime || slot->addresses.empty()) {
            slot = this->fetch(service, number);
        }
        known = slot;
    }
    if (!this->spread) {
        return known;
    }
    auto any = std::make_shared<entry>(*known);
    any->addresses = {this->instances[number % this->instances.size()]};
    return any;
}

mangopulley::http_session& connection_cache::open(const std::string& address) {
    auto& session = this->sessions[address];
    if (!session || !session->usable()) {
        session = mangopulley::http_session::connect(address, connect_timeout);
    }
    return *session;
}

std::unique_ptr<mangopulley::http_session> connection_pool::take(const std::string& address) {
    while (true) {
        std::unique_ptr<mangopulley::http_session> session{};
        {
            const std::lock_guard lock{this->guard};
            auto& sessions = this->idle[address];
            if (sessions.empty()) {
                break;
            }
            session = std::move(sessions.back());
            sessions.pop_back();
        }
        if (session->usable()) {
            return session;
        }
    }
    return mangopulley::http_session::connect(address, connect_timeout);
}

void connection_pool::give_back(const std::string& address, std::unique_ptr<mangopulley::http_session> session) {
    const std::lock_guard lock{this->guard};
    this->idle[address].push_back(std::move(session));
}

request_result entry_sender::send(const arrival& item, const std::size_t number) {
    const auto known = this->addresses.find(item.service, number);
    const auto key = known->order_token + '~' + this->run + '-' + std::to_string(number);
    for (const auto& address : known->addresses) {
        const auto outcome = this->send_to(address, item, key);
        if (outcome != request_result::failed) {
            return outcome;
        }
    }
    return request_result::failed;
}

request_result entry_sender::send_to(const std::string& address, const arrival& item, const std::string& key) {
    const auto& service = this->load.services[item.service];
    const auto& kind = service.kinds[item.kind];
    const std::string body{"item"};
    auto request = make_post("/v1/services/" + service.name + "/kinds/" + kind.name, address, body);
    if (!kind.idempotent) {
        request.set("Idempotency-Key", key);
    }
    try {
        auto& session = this->connections.open(address);
        session.limit_receive(kind.timeout + grace);
        session.send(request, body);
        Poco::Net::HTTPResponse response{};
        static_cast<void>(session.receive(response));
        return classify(response.get("Mangopulley-Outcome", ""));
    } catch (const Poco::Exception&) {
        this->connections.drop(address);
        return request_result::failed;
    }
}

target_queues::target_queues(std::vector<std::vector<std::string>> targets) : addresses{std::move(targets)} {
    for (const auto& service : this->addresses) {
        this->queues.emplace_back(service.size(), 0U);
    }
}

std::size_t target_queues::enter(const std::size_t service) {
    const std::lock_guard lock{this->guard};
    auto& lengths = this->queues[service];
    // Ties go to the next target in turn, so that no target is preferred.
    const auto first = ++this->turn;
    std::size_t chosen = 0U;
    std::size_t shortest = std::numeric_limits<std::size_t>::max();
    for (std::size_t step = 0U; step < lengths.size(); ++step) {
        const auto index = (first + step) % lengths.size();
        if (lengths[index] < shortest) {
            shortest = lengths[index];
            chosen = index;
        }
    }
    ++lengths[chosen];
    return chosen;
}

void target_queues::leave(const std::size_t service, const std::size_t target) {
    const std::lock_guard lock{this->guard};
    --this->queues[service][target];
}

const std::string& target_queues::address(const std::size_t service, const std::size_t target) const {
    return this->addresses[service][target];
}

request_result oracle_sender::send(const arrival& item, const std::size_t number) {
    const auto& kind = this->load.services[item.service].kinds[item.kind];
    const auto target = this->queues.enter(item.service);
    const auto& address = this->queues.address(item.service, target);
    const std::string body{"item"};
    auto request = make_post("/work/" + kind.name, address, body);
    request.set("Request-Id", this->run + '-' + std::to_string(number));
    const auto deadline = std::chrono::time_point_cast<milliseconds>(std::chrono::system_clock::now()) + kind.timeout;
    request.set("Deadline-Unix-Ms", std::to_string(deadline.time_since_epoch().count()));
    auto outcome = request_result::failed;
    try {
        auto session = this->pool.take(address);
        session->limit_receive(kind.timeout + grace);
        session->send(request, body);
        Poco::Net::HTTPResponse response{};
        static_cast<void>(session->receive(response));
        this->pool.give_back(address, std::move(session));
        outcome = response.getStatus() == 200 ? request_result::answered : request_result::not_run;
    } catch (const Poco::Exception&) {
        outcome = request_result::failed;
    }
    this->queues.leave(item.service, target);
    return outcome;
}

} // namespace bench
