#include "input_case.hpp"

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>
#include <iterator>

#include <mangopulley/gateway/document_codec.hpp>
#include <mangopulley/gateway/gateway_settings.hpp>
#include <mangopulley/gateway/peer_record.hpp>
#include <mangopulley/gateway/route_table.hpp>
#include <mangopulley/gateway/shared_load.hpp>
#include <mangopulley/http/request_parser.hpp>
#include <mangopulley/http/response_parser.hpp>
#include <platform/record_decoder.hpp>

namespace fuzz {

namespace {

using namespace mangopulley;

constexpr std::size_t longest_body = 4'096U;
// A broken input gives no more messages than it has bytes; more would mean a parser that does not advance.
constexpr std::size_t most_messages = 10'000U;

[[nodiscard]] std::vector<std::string> read_corpus(const std::string& name) {
    std::vector<std::string> inputs{};
    for (const auto& entry :
         std::filesystem::directory_iterator{std::filesystem::path{MANGOPULLEY_FUZZ_CORPUS} / name}) {
        std::ifstream file{entry.path(), std::ios::binary};
        inputs.emplace_back(std::istreambuf_iterator<char>{file}, std::istreambuf_iterator<char>{});
    }
    std::sort(inputs.begin(), inputs.end());
    return inputs;
}

/*! @brief Cuts an input into pieces as a network does, or leaves it whole. */
[[nodiscard]] std::vector<std::string> cut(const std::string& input, mutator& chance, const bool whole) {
    std::vector<std::string> pieces{};
    for (std::size_t position = 0U; position < input.size();) {
        const auto length = whole ? input.size() : 1U + chance.below(16U);
        pieces.push_back(input.substr(position, length));
        position += length;
    }
    return pieces;
}

[[nodiscard]] http_limits request_limits() {
    http_limits limits{};
    limits.longest_head = 2'048U;
    limits.longest_body = longest_body;
    limits.accept_chunked = true;
    return limits;
}

[[nodiscard]] std::string describe_requests(const std::vector<std::string>& pieces) {
    request_parser parser{request_limits()};
    std::string seen{};
    std::size_t messages = 0U;
    for (const auto& piece : pieces) {
        parser.append(piece);
        auto state = parser.examine();
        for (; state == request_parser::state::complete && messages < most_messages; ++messages) {
            const auto request = parser.take();
            if (request.body.size() > longest_body) {
                return "a body above its bound";
            }
            seen += request.head.getMethod() + ' ' + request.path + ' ' + request.body + '\n';
            state = parser.examine();
        }
        if (state == request_parser::state::rejected) {
            return seen + "rejected";
        }
    }
    return seen;
}

/*! @brief Describes the same requests as `describe_requests`, with each body taken out in parts while it arrives. */
[[nodiscard]] std::string describe_requests_in_parts(const std::vector<std::string>& pieces) {
    request_parser parser{request_limits()};
    std::string seen{};
    std::string request{};
    for (const auto& piece : pieces) {
        parser.append(piece);
        auto state = parser.examine();
        for (std::size_t messages = 0U; parser.started() && messages < most_messages; ++messages) {
            if (parser.head_complete()) {
                const auto head = parser.take();
                request = head.head.getMethod() + ' ' + head.path + ' ' + head.body;
            } else {
                request += parser.take_body();
            }
            if (state != request_parser::state::complete) {
                break;
            }
            seen += request + '\n';
            state = parser.examine();
        }
        if (state == request_parser::state::rejected) {
            return seen + "rejected";
        }
    }
    return seen;
}

[[nodiscard]] std::string check_request(const std::string& input, mutator& chance) {
    const auto whole = describe_requests(cut(input, chance, true));
    const auto pieces = describe_requests(cut(input, chance, false));
    if (whole != pieces) {
        return "pieces give other requests: " + whole + " / " + pieces;
    }
    const auto parts = describe_requests_in_parts(cut(input, chance, false));
    return whole == parts ? std::string{} : "bodies in parts give other requests: " + whole + " / " + parts;
}

[[nodiscard]] std::string describe_responses(const std::vector<std::string>& pieces) {
    response_parser parser{longest_body};
    std::string seen{};
    std::size_t messages = 0U;
    for (const auto& piece : pieces) {
        parser.append(piece);
        auto state = parser.examine();
        for (; state == response_parser::state::complete && messages < most_messages; ++messages) {
            const auto response = parser.take();
            if (response.body.size() > longest_body) {
                return "a body above its bound";
            }
            seen += std::to_string(response.status()) + ' ' + response.body + '\n';
            state = parser.examine();
        }
        if (state == response_parser::state::malformed) {
            return seen + "malformed";
        }
    }
    if (parser.finish(false) == response_parser::state::complete) {
        const auto response = parser.take();
        seen += "until the end " + std::to_string(response.status()) + ' ' + response.body;
    }
    return seen;
}

/*! @brief Describes the same responses as `describe_responses`, with each body taken out in parts while it arrives. */
[[nodiscard]] std::string describe_responses_in_parts(const std::vector<std::string>& pieces) {
    response_parser parser{longest_body};
    std::string seen{};
    std::string response{};
    bool open = false;
    for (const auto& piece : pieces) {
        parser.append(piece);
        auto state = parser.examine();
        for (std::size_t messages = 0U; parser.started() && messages < most_messages; ++messages) {
            if (parser.head_complete()) {
                const auto head = parser.take();
                response = std::to_string(head.status()) + ' ' + head.body;
                open = true;
            } else if (open) {
                response += parser.take_body();
            }
            if (state != response_parser::state::complete) {
                break;
            }
            seen += response + '\n';
            open = false;
            state = parser.examine();
        }
        if (state == response_parser::state::malformed) {
            return seen + "malformed";
        }
    }
    if (parser.finish(false) == response_parser::state::complete) {
        seen += "until the end " + response + parser.take_body();
    }
    return seen;
}

[[nodiscard]] std::string check_response(const std::string& input, mutator& chance) {
    const auto whole = describe_responses(cut(input, chance, true));
    const auto pieces = describe_responses(cut(input, chance, false));
    if (whole != pieces) {
        return "pieces give other responses: " + whole + " / " + pieces;
    }
    const auto parts = describe_responses_in_parts(cut(input, chance, false));
    return whole == parts ? std::string{} : "bodies in parts give other responses: " + whole + " / " + parts;
}

/*! @brief Checks that what was decoded says the same after it was passed on to another instance. */
template <typename Encode, typename Decode>
[[nodiscard]] std::string check_passing_on(const std::string& input, Encode encode, Decode decode) {
    const auto decoded = decode(input);
    if (!decoded) {
        return {};
    }
    const auto bytes = encode(*decoded);
    const auto again = decode(bytes);
    return again && encode(*again) == bytes ? std::string{} : "a decoded document changes when it is passed on";
}

[[nodiscard]] std::string check_config(const std::string& input, mutator&) {
    const auto config = platform::decode_config_object(input);
    if (!config) {
        return {};
    }
    route_table routes{};
    static_cast<void>(routes.apply(*config));
    static_cast<void>(routes.find("h.example", "/get/a"));
    return check_passing_on(encode_config(*config), encode_config, decode_config);
}

[[nodiscard]] std::string check_targets(const std::string& input, mutator&) {
    const auto page = platform::decode_target_page(input);
    if (!page) {
        return {};
    }
    for (const auto& target : page->list.targets) {
        if (target.id.empty() || target.slots == 0U || target.endpoint.empty()) {
            return "an entry that names no target was taken";
        }
    }
    return check_passing_on(encode_targets(page->list), encode_targets, decode_targets);
}

[[nodiscard]] std::string check_settings(const std::string& input, mutator&) {
    return boost::leaf::try_handle_all(
        [&]() -> result<std::string> {
            BOOST_LEAF_AUTO(parsed, parse_gateway_settings("settings", input));
            return parsed.instance_name.empty() ? std::string{"settings without a name were taken"} : std::string{};
        },
        [](const input_error& error) {
            return error.expected.empty() ? std::string{"an error that says nothing"} : std::string{};
        },
        [] { return std::string{"an error of no type"}; });
}

[[nodiscard]] listed_target some_target() {
    listed_target target{};
    target.id = "i-1";
    target.service = "proof";
    target.endpoint = "10.0.0.1:80";
    target.zone = "z";
    target.slots = 2U;
    return target;
}

[[nodiscard]] std::vector<std::string> peer_corpus() {
    heartbeat_message message{};
    message.introduces = true;
    message.record.identity = {"i1", "10.0.0.1", "z", "r", "10.0.0.1:80", 200U};
    routing_config config{};
    config.id.version = 3U;
    config.routes = {{"get", "h", "/get/", true, duration{1}, duration{1}, 1U, 2U, {{"proof", 1.0}}}};
    config.services = {{"proof", "/health", 220U}};
    shared_load loads{[](std::uint32_t, std::uint32_t) {}};
    loads.record(7U, 2U);
    return {encode_peer_message(message),
            encode_config(config),
            encode_targets({{1U, 4U}, {some_target()}}),
            encode_changes({1U, 2U, {1U, 3U}, {some_target()}, {"i-2"}}),
            encode_members({{message.record, duration{5}}}),
            loads.all()};
}

[[nodiscard]] std::string check_peer(const std::string& input, mutator&) {
    shared_load loads{[](std::uint32_t, std::uint32_t) {}};
    static_cast<void>(loads.receive("10.0.0.2", input, time_point{}));
    for (const auto& wrong : {check_passing_on(input, encode_peer_message, decode_peer_message),
                              check_passing_on(input, encode_config, decode_config),
                              check_passing_on(input, encode_targets, decode_targets),
                              check_passing_on(input, encode_changes, decode_changes),
                              check_passing_on(input, encode_members, decode_members)}) {
        if (!wrong.empty()) {
            return wrong;
        }
    }
    const auto changes = decode_changes(input);
    return changes && apply_changes({{1U, 4U}, {some_target()}}, *changes) ? "changes were applied to a foreign list"
                                                                           : "";
}

constexpr std::array<input_case, 6U> cases{{
    {"request", [] { return read_corpus("request"); }, check_request},
    {"response", [] { return read_corpus("response"); }, check_response},
    {"config", [] { return read_corpus("config"); }, check_config},
    {"targets", [] { return read_corpus("targets"); }, check_targets},
    {"settings", [] { return read_corpus("settings"); }, check_settings},
    {"peer", peer_corpus, check_peer},
}};

} // namespace

std::span<const input_case> input_cases() {
    return cases;
}

} // namespace fuzz
