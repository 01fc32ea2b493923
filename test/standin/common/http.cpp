#include "http.hpp"

#include <stdexcept>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <mangopulley/http/http_session.hpp>

namespace standin {

http_result http_call(const std::string& method, const std::string& address, const std::string& path,
                      const std::string_view body, const http_options& options) {
    http_result result{};
    try {
        const auto session = mangopulley::http_session::connect(address, options.timeout);
        session->limit_receive(options.timeout);
        Poco::Net::HTTPRequest request{method, path, Poco::Net::HTTPMessage::HTTP_1_1};
        request.setHost(address);
        request.setKeepAlive(false);
        request.setContentLength(static_cast<std::streamsize>(body.size()));
        for (const auto& [name, value] : options.headers) {
            request.set(name, value);
        }
        session->send(request, body);
        Poco::Net::HTTPResponse response{};
        result.body = session->receive(response);
        for (const auto& [name, value] : response) {
            result.headers.add(name, value);
        }
        result.status = response.getStatus();
    } catch (const Poco::Exception& error) {
        result.failure = error.displayText();
    }
    return result;
}

http_result http_get(const std::string& address, const std::string& path, const http_options& options) {
    return http_call("GET", address, path, {}, options);
}

http_result http_put(const std::string& address, const std::string& path, const std::string_view body,
                     const http_options& options) {
    return http_call("PUT", address, path, body, options);
}

http_result http_post(const std::string& address, const std::string& path, const std::string_view body,
                      const http_options& options) {
    return http_call("POST", address, path, body, options);
}

void control(const std::string& address, const std::string& path, const nlohmann::json& value) {
    const auto result = http_put(address, path, value.dump());
    if (result.status != 200) {
        throw std::runtime_error{"PUT " + path + ": " + std::to_string(result.status) + ' ' + result.failure +
                                 result.body};
    }
}

nlohmann::json read_json(const std::string& address, const std::string& path) {
    const auto result = http_get(address, path);
    auto json = result.json();
    if (result.status != 200 || json.is_discarded()) {
        throw std::runtime_error{"GET " + path + ": " + std::to_string(result.status) + ' ' + result.failure};
    }
    return json;
}

} // namespace standin
