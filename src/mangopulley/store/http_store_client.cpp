#include "http_store_client.hpp"

#include <atomic>
#include <charconv>
#include <mutex>
#include <sstream>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/StreamCopier.h>
#include <Poco/URI.h>
#include <nlohmann/json.hpp>

#include "../http/http_session.hpp"

namespace mangopulley {

namespace internal {

struct store_response {
    int status{};
    std::string body{};
    std::uint64_t version{};
};

[[nodiscard]] std::uint64_t parse_version(std::string_view text) noexcept {
    if (text.size() >= 2U && text.front() == '"') {
        text = text.substr(1U, text.size() - 2U);
    }
    std::uint64_t version{};
    std::from_chars(text.data(), text.data() + text.size(), version);
    return version;
}

[[nodiscard]] std::string percent_encode(const std::string_view key) {
    std::string encoded{};
    Poco::URI::encode(std::string{key}, "?#&%+ ", encoded);
    return encoded;
}

[[nodiscard]] std::string object_path(const std::string_view key) {
    return "/v1/objects/" + percent_encode(key);
}

[[nodiscard]] std::string watch_query(const std::uint64_t after, const milliseconds wait) {
    return "?after=" + std::to_string(after) + "&wait_ms=" + std::to_string(wait.count());
}

} // namespace internal

struct http_store_client::implementation {
    std::string address{};
    milliseconds timeout{};
    std::mutex idle_mutex{};
    std::vector<std::unique_ptr<http_session>> idle_connections{};
    std::atomic<std::uint64_t> reads{};
    std::atomic<std::uint64_t> writes{};
    std::atomic<std::uint64_t> watches{};

    [[nodiscard]] std::unique_ptr<http_session> acquire() {
        const std::lock_guard lock{this->idle_mutex};
        while (!this->idle_connections.empty()) {
            auto session = std::move(this->idle_connections.back());
            this->idle_connections.pop_back();
            if (session->usable()) {
                return session;
            }
        }
        return nullptr;
    }

    void release(std::unique_ptr<http_session> session) {
        const std::lock_guard lock{this->idle_mutex};
        this->idle_connections.push_back(std::move(session));
    }

    [[nodiscard]] result<internal::store_response> call(Poco::Net::HTTPRequest& request, const std::string_view body,
                                                        const std::string_view key, const milliseconds wait) {
        const bool is_write = request.getMethod() == Poco::Net::HTTPRequest::HTTP_PUT;
        // Without a response the effect of a write is unknown, whereas a read can simply be reported as
        // unavailable.
        const auto failure_after_send = is_write ? store_error::code::effect_unknown : store_error::code::unavailable;
        bool sent = false;
        try {
            auto session = this->acquire();
            if (!session) {
                session = http_session::connect(this->address, this->timeout);
            }
            session->limit_receive(this->timeout + wait);
            request.setHost(this->address);
            request.setContentLength(static_cast<std::streamsize>(body.size()));
            sent = true;
            session->send(request, body);
            Poco::Net::HTTPResponse http_response{};
            internal::store_response response{};
            response.body = session->receive(http_response);
            response.status = http_response.getStatus();
            response.version = internal::parse_version(http_response.get("ETag", "0"));
            if (http_response.getKeepAlive()) {
                this->release(std::move(session));
            }
            return this->check_status(std::move(response), key, is_write);
        } catch (const Poco::Exception& error) {
            return boost::leaf::new_error(store_error{sent ? failure_after_send : store_error::code::unavailable,
                                                      std::string{key}, error.displayText()});
        }
    }

    [[nodiscard]] result<internal::store_response> check_status(internal::store_response response,
                                                                const std::string_view key, const bool is_write) const {
        const auto fail = [&](const enum store_error::code code) {
            return boost::leaf::new_error(store_error{code, std::string{key}, std::to_string(response.status)});
        };
        switch (response.status) {
        case 200:
        case 304:
            return response;
        case 404:
            return fail(store_error::code::missing);
        case 412:
            return fail(store_error::code::conflict);
        case 429:
            return fail(store_error::code::rate_limited);
        case 503:
            return fail(store_error::code::unavailable);
        default:
            return fail(is_write ? store_error::code::effect_unknown : store_error::code::unavailable);
        }
    }

    [[nodiscard]] result<internal::store_response> read(const std::string& path, const std::string_view key,
                                                        const milliseconds wait = milliseconds{0}) {
        Poco::Net::HTTPRequest request{Poco::Net::HTTPRequest::HTTP_GET, path, Poco::Net::HTTPMessage::HTTP_1_1};
        (wait.count() > 0 ? this->watches : this->reads).fetch_add(1U, std::memory_order_relaxed);
        return this->call(request, {}, key, wait);
    }
};

http_store_client::http_store_client(std::string address, const milliseconds timeout)
    : self{std::make_unique<implementation>()} {
    this->self->address = std::move(address);
    this->self->timeout = timeout;
}

http_store_client::~http_store_client() = default;

result<stored_object> http_store_client::get(const std::string_view key) {
    BOOST_LEAF_AUTO(response, this->self->read(internal::object_path(key), key));
    return stored_object{std::move(response.body), response.version};
}

result<std::uint64_t> http_store_client::put(const std::string_view key, const std::string_view value,
                                             const std::uint64_t expected) {
    Poco::Net::HTTPRequest request{Poco::Net::HTTPRequest::HTTP_PUT, internal::object_path(key),
                                   Poco::Net::HTTPMessage::HTTP_1_1};
    if (expected == 0U) {
        request.set("If-None-Match", "*");
    } else {
        request.set("If-Match", '"' + std::to_string(expected) + '"');
    }
    this->self->writes.fetch_add(1U, std::memory_order_relaxed);
    BOOST_LEAF_AUTO(response, this->self->call(request, value, key, milliseconds{0}));
    return response.version;
}

result<std::optional<stored_object>> http_store_client::watch(const std::string_view key, const std::uint64_t after,
                                                              const milliseconds wait) {
    const auto path = internal::object_path(key) + internal::watch_query(after, wait);
    BOOST_LEAF_AUTO(response, this->self->read(path, key, wait));
    if (response.status == Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED) {
        return std::optional<stored_object>{};
    }
    return std::optional{stored_object{std::move(response.body), response.version}};
}

result<std::vector<listed_object>> http_store_client::list(const std::string_view prefix) {
    BOOST_LEAF_AUTO(response, this->self->read("/v1/list?prefix=" + internal::percent_encode(prefix), prefix));
    try {
        std::vector<listed_object> objects{};
        for (const auto& entry : nlohmann::json::parse(response.body)) {
            objects.push_back({entry.at("key").get<std::string>(), entry.at("version").get<std::uint64_t>()});
        }
        return objects;
    } catch (const nlohmann::json::exception& error) {
        return boost::leaf::new_error(store_error{store_error::code::malformed, std::string{prefix}, error.what()});
    }
}

result<std::optional<instance_list>> http_store_client::watch_instances(const std::uint64_t after,
                                                                        const milliseconds wait) {
    BOOST_LEAF_AUTO(response,
                    this->self->read("/v1/instances" + internal::watch_query(after, wait), "instances", wait));
    if (response.status == Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED) {
        return std::optional<instance_list>{};
    }
    try {
        const auto json = nlohmann::json::parse(response.body);
        instance_list list{};
        list.revision = json.at("revision").get<std::uint64_t>();
        for (const auto& entry : json.at("instances")) {
            list.instances.push_back({entry.at("id"), entry.at("role"), entry.value("service", ""), entry.at("address"),
                                      entry.value("zone", ""), entry.value("region", ""),
                                      entry.at("state") == "leaving"});
        }
        return std::optional{std::move(list)};
    } catch (const nlohmann::json::exception& error) {
        return boost::leaf::new_error(store_error{store_error::code::malformed, "instances", error.what()});
    }
}

http_store_client::store_call_counts http_store_client::counts() const noexcept {
    return {this->self->reads.load(), this->self->writes.load(), this->self->watches.load()};
}

} // namespace mangopulley
