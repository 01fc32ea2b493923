#include "query_command.hpp"

#include <optional>
#include <ostream>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/URI.h>
#include <nlohmann/json.hpp>

#include "../http/http_session.hpp"
#include "command.hpp"
#include "command_line.hpp"

namespace mangopulley {

namespace internal {

const bool state_registered = registry<command>::instance().add("state", run_state_command);
const bool addresses_registered = registry<command>::instance().add("addresses", run_addresses_command);

constexpr milliseconds query_timeout{5'000};

/*! @brief Gets a page of a running process; writes what went wrong and returns nothing on failure. */
[[nodiscard]] std::optional<std::string> fetch(const std::string& address, const std::string& path, std::ostream& err) {
    try {
        const auto session = http_session::connect(address, query_timeout);
        Poco::Net::HTTPRequest request{Poco::Net::HTTPRequest::HTTP_GET, path, Poco::Net::HTTPMessage::HTTP_1_1};
        request.setHost(address);
        request.setContentLength(0);
        session->limit_receive(query_timeout);
        session->send(request, {});
        Poco::Net::HTTPResponse response{};
        auto body = session->receive(response);
        if (response.getStatus() == Poco::Net::HTTPResponse::HTTP_OK) {
            return body;
        }
        err << address << " answered " << response.getStatus() << ": " << body << '\n';
    } catch (const Poco::Exception& error) {
        err << "cannot reach " << address << ": " << error.displayText() << '\n';
    }
    return std::nullopt;
}

void print_addresses(const nlohmann::json& answer, std::ostream& out) {
    for (const auto& item : answer.at("addresses")) {
        out << item.at("address").get<std::string>() << " zone=" << item.at("zone").get<std::string>() << '\n';
    }
    out << "lifetime_ms=" << answer.at("lifetime_ms") << " order_token=" << answer.at("order_token").get<std::string>()
        << '\n';
}

} // namespace internal

int run_state_command(const std::span<const std::string> arguments, std::ostream& out, std::ostream& err) {
    command_line line{"mangopulley state", "Prints the state dump of a running process as JSON.", out, err};
    TCLAP::ValueArg<std::string> from{"",        "from",          "operator address of the process", true, "",
                                      "IP:PORT", line.arguments()};
    TCLAP::ValueArg<std::string> section{"", "section", "print only this section", false, "", "NAME", line.arguments()};
    TCLAP::SwitchArg json{"", "json", "accepted for uniformity; the output is always JSON", line.arguments()};
    if (const auto finished = line.parse(arguments)) {
        return static_cast<int>(*finished);
    }
    const auto body = internal::fetch(from.getValue(), "/state", err);
    if (!body) {
        return static_cast<int>(exit_code::failed);
    }
    if (section.getValue().empty()) {
        out << *body << '\n';
        return static_cast<int>(exit_code::done);
    }
    const auto dump = nlohmann::json::parse(*body, nullptr, false);
    if (!dump.is_object() || !dump.contains(section.getValue())) {
        err << "the dump has no section '" << section.getValue() << "'\n";
        return static_cast<int>(exit_code::failed);
    }
    out << dump.at(section.getValue()).dump(2) << '\n';
    return static_cast<int>(exit_code::done);
}

int run_addresses_command(const std::span<const std::string> arguments, std::ostream& out, std::ostream& err) {
    command_line line{"mangopulley addresses", "Prints the addresses that a caller of a service is told.", out, err};
    TCLAP::ValueArg<std::string> from{"",        "from",          "caller address of any entry instance", true, "",
                                      "IP:PORT", line.arguments()};
    TCLAP::ValueArg<std::string> service{"", "service", "name of the service", true, "", "NAME", line.arguments()};
    TCLAP::SwitchArg json{"", "json", "print the answer as JSON", line.arguments()};
    if (const auto finished = line.parse(arguments)) {
        return static_cast<int>(*finished);
    }
    std::string encoded{};
    Poco::URI::encode(service.getValue(), "?#&%+ /", encoded);
    const auto body = internal::fetch(from.getValue(), "/v1/addresses?service=" + encoded, err);
    if (!body) {
        return static_cast<int>(exit_code::failed);
    }
    if (json.getValue()) {
        out << *body << '\n';
        return static_cast<int>(exit_code::done);
    }
    try {
        internal::print_addresses(nlohmann::json::parse(*body), out);
    } catch (const nlohmann::json::exception& error) {
        err << "answer not understood: " << error.what() << '\n';
        return static_cast<int>(exit_code::failed);
    }
    return static_cast<int>(exit_code::done);
}

} // namespace mangopulley
