#include "explain_command.hpp"

#include <fstream>
#include <iostream>
#include <optional>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/String.h>
#include <nlohmann/json.hpp>

#include "../core/yaml_value.hpp"
#include "../http/http_session.hpp"
#include "command.hpp"
#include "command_line.hpp"

namespace mangopulley {

namespace internal {

namespace {

const bool explain_registered = registry<command>::instance().add(
    "explain", [](const std::span<const std::string> arguments, std::ostream& out, std::ostream& err) {
        return run_explain_command(arguments, std::cin, out, err);
    });

constexpr milliseconds explain_timeout{5'000};

/*! @brief Reads an API key from a file or, for `-`, from a stream; nothing if there is none. */
[[nodiscard]] std::optional<std::string> read_key(const std::string& path, std::istream& in) {
    std::ifstream file{};
    if (path != "-") {
        file.open(path);
    }
    std::string key{};
    std::getline(path == "-" ? in : file, key);
    key = Poco::trim(key);
    return key.empty() ? std::nullopt : std::optional{std::move(key)};
}

struct answer {
    int status{};
    std::string body{};
};

[[nodiscard]] answer post(const std::string& address, const std::string& body) {
    const auto session = http_session::connect(address, explain_timeout);
    Poco::Net::HTTPRequest request{Poco::Net::HTTPRequest::HTTP_POST, "/explain", Poco::Net::HTTPMessage::HTTP_1_1};
    request.setHost(address);
    request.setContentType("application/json");
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    session->limit_receive(explain_timeout);
    session->send(request, body);
    Poco::Net::HTTPResponse response{};
    auto text = session->receive(response);
    return {static_cast<int>(response.getStatus()), std::move(text)};
}

/*! @brief Reports an answer other than 200. */
[[nodiscard]] exit_code report_error(const std::string& address, const answer& received, std::ostream& err) {
    const auto content = nlohmann::json::parse(received.body, nullptr, false);
    if (!content.is_object() || !content.contains("error")) {
        err << address << " answered " << received.status << ": " << printable(received.body) << '\n';
        return exit_code::failed;
    }
    err << address << ": " << printable(content.value("message", std::string{})) << '\n';
    const auto error = content.value("error", std::string{});
    return error == "no_route" || error == "no_team" ? exit_code::rejected_input : exit_code::failed;
}

void print_team(const nlohmann::json& team, std::ostream& out) {
    if (team.is_null()) {
        out << "team: none\n";
        return;
    }
    out << "team: " << team.at("name").get<std::string>() << " priority=" << team.at("priority");
    const auto& quota = team.at("quota");
    if (quota.is_null()) {
        out << " without a quota\n";
    } else {
        out << " rate=" << quota.at("rate") << " burst=" << quota.at("burst") << " share=" << quota.at("share")
            << " tokens=" << quota.at("tokens") << '\n';
    }
}

void print_explanation(const nlohmann::json& found, std::ostream& out) {
    const auto& route = found.at("route");
    const auto& queue = found.at("queue");
    out << "instance: " << found.at("instance").get<std::string>() << '\n'
        << "configuration: version " << found.at("config_version") << ", confirmed " << found.at("config_age_ms")
        << " ms ago, targets " << found.at("targets_age_ms") << " ms ago\n"
        << "route: " << route.at("name").get<std::string>() << " prefix=" << route.at("prefix").get<std::string>()
        << " idempotent=" << route.at("idempotent") << " public=" << route.at("public") << '\n';
    print_team(found.at("team"), out);
    out << "service: " << found.at("service").get<std::string>() << " of";
    for (const auto& part : route.at("parts")) {
        out << ' ' << part.at("service").get<std::string>() << '=' << part.at("weight");
    }
    out << "\nqueue: " << queue.at("waiting") << " waiting, " << queue.at("ahead") << " ahead, expected wait "
        << queue.at("expected_wait_ms") << " ms\n";
    for (const auto& target : found.at("targets")) {
        out << "target: " << target.at("id").get<std::string>() << ' ' << target.at("reason").get<std::string>()
            << " zone=" << target.at("zone").get<std::string>() << " in_flight=" << target.at("in_flight") << '+'
            << target.at("in_flight_elsewhere") << '/' << target.at("slots")
            << " expected_ms=" << target.at("expected_ms") << " reading_age_ms=" << target.at("reading_age_ms") << '\n';
    }
    out << "decision: " << found.at("step").get<std::string>();
    const auto& refusal = found.at("refusal");
    if (!refusal.is_null()) {
        out << ' ' << refusal.at("status") << ' ' << refusal.at("reason").get<std::string>();
        if (refusal.contains("retry_after_ms")) {
            out << " retry_after_ms=" << refusal.at("retry_after_ms");
        }
    }
    out << '\n';
}

} // namespace

} // namespace internal

int run_explain_command(const std::span<const std::string> arguments, std::istream& in, std::ostream& out,
                        std::ostream& err) {
    command_line line{"mangopulley explain", "Prints where a request would go now, and why, without sending it.", out,
                      err};
    auto& options = line.arguments();
    TCLAP::ValueArg<std::string> from{"",        "from", "operator address of the gateway instance", true, "",
                                      "IP:PORT", options};
    TCLAP::ValueArg<std::string> host{"", "host", "host of the request", true, "", "HOST", options};
    TCLAP::ValueArg<std::string> path{"", "path", "path of the request", true, "", "PATH", options};
    TCLAP::ValueArg<std::string> method{"", "method", "method of the request", false, "GET", "METHOD", options};
    TCLAP::ValueArg<std::string> team{"", "team", "team of the caller", false, "", "NAME", options};
    TCLAP::ValueArg<std::string> key_file{
        "", "key-file", "file with the caller's API key, - for standard input", false, "", "PATH", options};
    TCLAP::SwitchArg json{"", "json", "print the answer as JSON", options};
    if (const auto finished = line.parse(arguments)) {
        return static_cast<int>(*finished);
    }
    if (team.isSet() && key_file.isSet()) {
        return static_cast<int>(line.fail("--key-file", key_file.getValue(), "either --team or --key-file"));
    }
    nlohmann::json question{{"host", host.getValue()}, {"path", path.getValue()}, {"method", method.getValue()}};
    if (team.isSet()) {
        question["team"] = team.getValue();
    }
    if (key_file.isSet()) {
        const auto key = internal::read_key(key_file.getValue(), in);
        if (!key) {
            err << "no API key in " << printable(key_file.getValue()) << '\n';
            return static_cast<int>(exit_code::failed);
        }
        question["key"] = *key;
    }
    try {
        const auto received =
            internal::post(from.getValue(), question.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
        if (received.status != Poco::Net::HTTPResponse::HTTP_OK) {
            return static_cast<int>(internal::report_error(from.getValue(), received, err));
        }
        if (json.getValue()) {
            out << received.body << '\n';
        } else {
            internal::print_explanation(nlohmann::json::parse(received.body), out);
        }
        return static_cast<int>(exit_code::done);
    } catch (const Poco::Exception& error) {
        err << "cannot reach " << from.getValue() << ": " << error.displayText() << '\n';
    } catch (const nlohmann::json::exception& error) {
        err << "answer not understood: " << error.what() << '\n';
    }
    return static_cast<int>(exit_code::failed);
}

} // namespace mangopulley
