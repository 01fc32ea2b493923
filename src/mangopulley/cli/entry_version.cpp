#include "entry_version.hpp"

#include <algorithm>
#include <chrono>
#include <thread>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <nlohmann/json.hpp>

#include "../core/clock.hpp"
#include "../core/yaml_value.hpp"
#include "../http/http_session.hpp"

namespace mangopulley {

namespace internal {

constexpr milliseconds poll_period{100};
constexpr milliseconds answer_timeout{500};

[[nodiscard]] milliseconds milliseconds_since(const time_point begin, const clock& time) {
    return std::chrono::duration_cast<milliseconds>(time.now() - begin);
}

void ask_version(entry_version& entry, const milliseconds timeout) {
    try {
        const auto session = http_session::connect(entry.address, timeout);
        session->limit_receive(timeout);
        Poco::Net::HTTPRequest request{Poco::Net::HTTPRequest::HTTP_GET, "/state", Poco::Net::HTTPMessage::HTTP_1_1};
        request.setHost(entry.address);
        session->send(request, {});
        Poco::Net::HTTPResponse response{};
        const auto body = session->receive(response);
        if (response.getStatus() != Poco::Net::HTTPResponse::HTTP_OK) {
            entry.failure = "status " + std::to_string(response.getStatus());
            return;
        }
        entry.version = nlohmann::json::parse(body).at("catalogue").at("version").get<std::uint64_t>();
        entry.failure.clear();
    } catch (const Poco::Exception& error) {
        entry.failure = printable(error.displayText());
    } catch (const nlohmann::json::exception& error) {
        entry.failure = printable(error.what());
    }
}

void poll_entry(entry_version& entry, const std::uint64_t wanted, const clock& time, const milliseconds limit) {
    const auto begin = time.now();
    for (auto left = limit; left.count() > 0; left = limit - milliseconds_since(begin, time)) {
        ask_version(entry, std::min(answer_timeout, left));
        if (entry.failure.empty() && entry.version >= wanted) {
            entry.in_force = true;
            break;
        }
        std::this_thread::sleep_for(poll_period);
    }
    entry.waited = milliseconds_since(begin, time);
}

} // namespace internal

std::vector<entry_version> poll_entry_versions(const std::span<const std::string> addresses, const std::uint64_t wanted,
                                               const clock& time, const milliseconds limit) {
    std::vector<entry_version> entries{};
    for (const auto& address : addresses.first(std::min(addresses.size(), most_polled_entries))) {
        entries.push_back({address, false, 0U, {}, {}});
    }
    std::vector<std::thread> threads{};
    threads.reserve(entries.size());
    for (auto& entry : entries) {
        threads.emplace_back([&entry, wanted, &time, limit] { internal::poll_entry(entry, wanted, time, limit); });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    return entries;
}

} // namespace mangopulley
