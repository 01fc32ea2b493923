#pragma once

#include <chrono>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <Poco/Net/NameValueCollection.h>
#include <nlohmann/json.hpp>

namespace standin {

/*! @brief Options of a call. */
struct http_options {
    std::vector<std::pair<std::string, std::string>> headers{};
    /*! @brief Longest time for connecting and for each read. */
    std::chrono::milliseconds timeout{2000};
};

/*! @brief What became of a call. */
struct http_result {
    /*! @brief Status, or 0 when no whole response came. */
    int status{};
    Poco::Net::NameValueCollection headers{};
    std::string body{};
    /*! @brief Why no whole response came. */
    std::string failure{};

    [[nodiscard]] std::string header(const std::string& name) const { return this->headers.get(name, ""); }
    /*! @brief Returns the body as JSON; a discarded value when it is none. */
    [[nodiscard]] nlohmann::json json() const { return nlohmann::json::parse(this->body, nullptr, false); }
};

/**
 * @brief Sends one request on a connection of its own and reads the whole response.
 * @param method Such as `GET`.
 * @param address Server as `ip:port`.
 * @param path Path with query.
 * @param body Body; empty for none.
 * @param options Headers and time limit.
 * @return The response or the failure; never throws Poco's exceptions.
 */
[[nodiscard]] http_result http_call(const std::string& method, const std::string& address, const std::string& path,
                                    std::string_view body = {}, const http_options& options = {});

[[nodiscard]] http_result http_get(const std::string& address, const std::string& path,
                                   const http_options& options = {});
[[nodiscard]] http_result http_put(const std::string& address, const std::string& path, std::string_view body,
                                   const http_options& options = {});
[[nodiscard]] http_result http_post(const std::string& address, const std::string& path, std::string_view body,
                                    const http_options& options = {});

/*! @brief Puts JSON to a control path of a stand-in; throws std::runtime_error when it is not accepted. */
void control(const std::string& address, const std::string& path, const nlohmann::json& value);

/*! @brief Reads JSON from a stand-in; throws std::runtime_error when there is none. */
[[nodiscard]] nlohmann::json read_json(const std::string& address, const std::string& path);

} // namespace standin
