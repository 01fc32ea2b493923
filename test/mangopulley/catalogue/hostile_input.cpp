#include <array>
#include <random>
#include <span>
#include <string>
#include <string_view>

#include <mangopulley/catalogue/parse.hpp>
#include <mangopulley/catalogue/stored_catalogue.hpp>
#include <mangopulley/settings/settings.hpp>

#include <CppUTest/TestHarness.h>

using mangopulley::input_error;
using mangopulley::parse_catalogue;
using mangopulley::parse_settings;
using mangopulley::result;

namespace {

constexpr std::string_view valid_settings = R"(instance:
  name: entry-1
  ip: 10.0.0.1
  caller_port: 8080
  operator_port: 8081
  peer_port: 8082
  zone: riga-a
  region: riga
store:
  address: 10.0.0.9:80
  timeout_ms: 250
director:
  endpoints:
    - http://10.0.0.7:9000/alert
log:
  level: warn
workers: 64
)";

constexpr std::string_view valid_catalogue = R"(services:
  - name: payments
    owner: Sialkot
    class: interactive
    limits:
      requests_per_second: 1200.5
      concurrent: 12
      waiting: 100
    measuring:
      probes_per_target_per_second: 2
      probes_per_second: 10
    targets:
      slots: 4
      connections: 300
    policy: two_choices
    serve_unconfirmed_ms: 60000
    refuse_orders_without_store: true
    kinds:
      - name: release
        idempotent: false
        worth: 5
        timeout_ms: 800
      - name: status
)";

/*! @brief A replacement that makes a valid text invalid, and the expected error. */
struct invalid_replacement {
    std::string_view from;
    std::string_view to;
    /*! @brief Line of the value's key, or of the enclosing map when the field is missing; 0 to skip the check. */
    std::size_t line;
    std::string_view field;
    std::string_view found;
    /*! @brief Part of the expected values in the error. */
    std::string_view expected;
};

constexpr std::string_view once = "each key once";
constexpr std::string_view required = "the field is required";

constexpr std::array<invalid_replacement, 38U> settings_cases{{
    {"  name: entry-1", "  name: entry 1", 2U, "instance.name", "entry 1", "1 to 64 characters of"},
    {"  name: entry-1", "  name: ''", 2U, "instance.name", "", "1 to 64 characters of"},
    {"  name: entry-1", "  name:", 2U, "instance.name", "nothing", "1 to 64 characters of"},
    {"  name: entry-1", "  nam: entry-1", 2U, "instance.nam", "nam", "one of the keys name, ip"},
    {"  name: entry-1", "  ip: 10.0.0.2", 3U, "instance.ip", "ip", once},
    {"  name: entry-1\n", "", 1U, "instance.name", "nothing", required},
    {"10.0.0.1\n", "10.0.0.256\n", 3U, "instance.ip", "10.0.0.256", "an IPv4 address"},
    {"10.0.0.1\n", "10.1\n", 3U, "instance.ip", "10.1", "an IPv4 address"},
    {"10.0.0.1\n", "010.0.0.1\n", 3U, "instance.ip", "010.0.0.1", "an IPv4 address"},
    {"10.0.0.1\n", "0.0.0.0\n", 3U, "instance.ip", "0.0.0.0", "of one machine"},
    {"10.0.0.1\n", "224.0.0.1\n", 3U, "instance.ip", "224.0.0.1", "of one machine"},
    {"10.0.0.1\n", "'::1'\n", 3U, "instance.ip", "::1", "an IPv4 address"},
    {"10.0.0.1\n", "localhost\n", 3U, "instance.ip", "localhost", "an IPv4 address"},
    {"8080", "0", 4U, "instance.caller_port", "0", "a whole number 1 to 65535"},
    {"8080", "65536", 4U, "instance.caller_port", "65536", "a whole number 1 to 65535"},
    {"8080", "-1", 4U, "instance.caller_port", "-1", "a whole number 1 to 65535"},
    {"8080", "'8080'", 4U, "instance.caller_port", "8080", "a whole number"},
    {"8080", "0x50", 4U, "instance.caller_port", "0x50", "a whole number"},
    {"8080", "08080", 4U, "instance.caller_port", "08080", "a whole number"},
    {"8080", "99999999999999999999999", 4U, "instance.caller_port", "99999999999999999999999", "a whole number"},
    {"8080", "[8080]", 4U, "instance.caller_port", "a list", "a whole number"},
    {"8081", "8080", 4U, "instance.caller_port", "8080", "a port other than instance.operator_port"},
    {"8082", "8081", 5U, "instance.operator_port", "8081", "a port other than instance.peer_port"},
    {"10.0.0.9:80", "10.0.0.9", 10U, "store.address", "10.0.0.9", "an IPv4 address and port"},
    {"10.0.0.9:80", "10.0.0.9:65536", 10U, "store.address", "10.0.0.9:65536", "an IPv4 address and port"},
    {"10.0.0.9:80", "{host: a}", 10U, "store.address", "a map", "an IPv4 address and port"},
    {"timeout_ms: 250", "timeout_ms: 9", 11U, "store.timeout_ms", "9", "10 to 10000"},
    {"timeout_ms: 250", "timeout_ms: 250ms", 11U, "store.timeout_ms", "250ms", "a whole number"},
    {"http://10.0.0.7:9000/alert", "https://10.0.0.7/", 14U, "director.endpoints[0]", "https://10.0.0.7/", "http://"},
    {"http://10.0.0.7:9000/alert", "http://director/", 14U, "director.endpoints[0]", "http://director/", "IPv4"},
    {"http://10.0.0.7:9000/alert", "http://u:p@10.0.0.7/", 14U, "director.endpoints[0]", "http://u:p@10.0.0.7/", "URL"},
    {"http://10.0.0.7:9000/alert", "http://10.0.0.7:99999/", 14U, "director.endpoints[0]", "http://10.0.0.7:99999/",
     "URL"},
    {"    - http://10.0.0.7:9000/alert", "    []", 13U, "director.endpoints", "0 entries", "a list of 1 to 16"},
    {"level: warn", "level: loud", 16U, "log.level", "loud", "one of: trace, debug, info, warn, error"},
    {"workers: 64", "workers: 4097", 17U, "workers", "4097", "1 to 4096"},
    {"workers: 64", "workers: 64\nworkers: 64", 18U, "workers", "workers", once},
    {"workers: 64", "---\nworkers: 64", 17U, "", "second document", "one YAML document"},
    {"workers: 64", "? [a]\n: 1", 17U, "", "list or map as key", "a text as key"},
}};

constexpr std::array<invalid_replacement, 45U> catalogue_cases{{
    {"services:", "service:", 1U, "service", "service", "one of the keys services"},
    {"name: payments", "name: pay/ments", 2U, "services[0].name", "pay/ments", "1 to 64 characters of"},
    {"name: payments", "name: [payments]", 2U, "services[0].name", "a list", "1 to 64 characters of"},
    {"  - name: payments\n    owner", "  - owner", 2U, "services[0].name", "nothing", required},
    {"    owner: Sialkot\n", "", 2U, "services[0].owner", "nothing", required},
    {"owner: Sialkot", "owner: \"a\\x1b[2J\"", 3U, "services[0].owner", "a?[2J", "without control characters"},
    {"owner: Sialkot", "owner: \"\\u009b2J\"", 3U, "services[0].owner", "??2J", "without control characters"},
    {"class: interactive", "class: urgent", 4U, "services[0].class", "urgent", "interactive, normal, batch"},
    {"1200.5", "0", 6U, "services[0].limits.requests_per_second", "0", "a number 0.001 to 1e+07"},
    {"1200.5", ".inf", 6U, "services[0].limits.requests_per_second", ".inf", "a number"},
    {"1200.5", "inf", 6U, "services[0].limits.requests_per_second", "inf", "a number"},
    {"1200.5", "nan", 6U, "services[0].limits.requests_per_second", "nan", "a number"},
    {"1200.5", "1e400", 6U, "services[0].limits.requests_per_second", "1e400", "a number"},
    {"1200.5", "1,5", 6U, "services[0].limits.requests_per_second", "1,5", "a number"},
    {"concurrent: 12", "concurrent: 0", 7U, "services[0].limits.concurrent", "0", "1 to 10000000"},
    {"concurrent: 12", "concurrent: 12.5", 7U, "services[0].limits.concurrent", "12.5", "a whole number"},
    {"      concurrent: 12\n", "", 7U, "services[0].limits.waiting", "100", "without limits.concurrent"},
    {"probes_per_target_per_second: 2", "probes_per_target_per_second: 11", 10U,
     "services[0].measuring.probes_per_target_per_second", "11", "at most measuring.probes_per_second, 10"},
    {"      probes_per_target_per_second: 2\n", "", 9U, "services[0].measuring.probes_per_target_per_second", "nothing",
     "at least 1"},
    {"slots: 4", "slots: 301", 13U, "services[0].targets.slots", "301", "at most targets.connections, 300"},
    {"slots: 4", "slots: 0", 13U, "services[0].targets.slots", "0", "1 to 100000"},
    {"connections: 300", "connections: 1", 13U, "services[0].targets.slots", "4", "at most targets.connections, 1"},
    {"policy: two_choices", "policy: best", 15U, "services[0].policy", "best", "random, round_robin"},
    {"60000", "86400001", 16U, "services[0].serve_unconfirmed_ms", "86400001", "0 to 86400000"},
    {"without_store: true", "without_store: yes", 17U, "services[0].refuse_orders_without_store", "yes", "false, true"},
    {"without_store: true", "without_store: 'true'", 17U, "services[0].refuse_orders_without_store", "true",
     "true or false"},
    {"name: release", "name: status", 23U, "services[0].kinds[1].name", "status", "each name once"},
    {"idempotent: false", "idempotent: no", 20U, "services[0].kinds[0].idempotent", "no", "false, true"},
    {"worth: 5", "worth: 0", 21U, "services[0].kinds[0].worth", "0", "a number 1e-06 to 1e+06"},
    {"worth: 5", "worth: -5", 21U, "services[0].kinds[0].worth", "-5", "a number"},
    {"timeout_ms: 800", "timeout_ms: 60001", 22U, "services[0].kinds[0].timeout_ms", "60001", "1 to 60000"},
    {"timeout_ms: 800", "timeout_ms: 800\n        timeout_ms: 9", 23U, "services[0].kinds[0].timeout_ms", "timeout_ms",
     once},
    {"      - name: status\n", "  - {name: payments, owner: o}\n", 23U, "services[1].name", "payments",
     "each name once"},
    {"owner: Sialkot", "owner: &a Sialkot", 3U, "", "anchor a", "no anchors and aliases"},
    {"owner: Sialkot", "owner: !!str Sialkot", 3U, "", "tag tag:yaml.org,2002:str", "no tags"},
    {"owner: Sialkot", "<<: {owner: Sialkot}", 3U, "services[0].<<", "<<", "one of the keys"},
    {"owner: Sialkot", "owner: \"Sialkot", 24U, "", "end of text", "well-formed YAML"},
    {"owner: Sialkot", "owner: 'Sialkot", 24U, "", "end of text", "well-formed YAML"},
    {"      - name: status\n", "      - {name: status", 23U, "", "list or map as key", "a text as key"},
    {"owner: Sialkot", "owner: *nobody", 3U, "", "", ""},
    {"owner: Sialkot", "\towner: Sialkot", 0U, "", "", "well-formed YAML"},
    {"owner: Sialkot", "owner: Sia\xFFlkot", 3U, "", "invalid byte", "UTF-8"},
    {"owner: Sialkot", "owner: Sia\xED\xA0\x80lkot", 3U, "", "invalid byte", "UTF-8"},
    {"owner: Sialkot", "owner: Sia\x1blkot", 3U, "", "control character", "no control characters"},
    {"owner: Sialkot", "owner: {a: {a: {a: {a: {a: {a: {a: {a: {a: {a: {a: 1}}}}}}}}}}}", 3U, "", "deeper nesting",
     "fewer levels"},
}};

struct read_outcome {
    bool accepted{};
    input_error error{};
};

template <typename Parse>
[[nodiscard]] read_outcome read(Parse parse, const std::string_view text) {
    return boost::leaf::try_handle_all(
        [&]() -> result<read_outcome> {
            BOOST_LEAF_AUTO(value, parse("test", text));
            static_cast<void>(value);
            return read_outcome{true, {}};
        },
        [](const input_error& error) {
            return read_outcome{false, error};
        },
        [] {
            FAIL("untyped error");
            return read_outcome{};
        });
}

template <typename Parse>
void check_cases(Parse parse, const std::string_view valid_text, const std::span<const invalid_replacement> cases) {
    CHECK_TRUE(read(parse, valid_text).accepted);
    for (const auto& edit : cases) {
        std::string text{valid_text};
        const auto position = text.find(edit.from);
        CHECK_TRUE_TEXT(position != std::string::npos, edit.from.data());
        text.replace(position, edit.from.size(), edit.to);
        const auto name = std::string{edit.to.empty() ? edit.from : edit.to};

        const auto outcome = read(parse, text);

        CHECK_FALSE_TEXT(outcome.accepted, name.c_str());
        STRCMP_EQUAL_TEXT("test", outcome.error.source.c_str(), name.c_str());
        // Line 0 marks a syntax error whose reported position depends on the YAML library.
        if (edit.line > 0U) {
            LONGS_EQUAL_TEXT(edit.line, outcome.error.line, name.c_str());
        }
        STRCMP_EQUAL_TEXT(std::string{edit.field}.c_str(), outcome.error.field.c_str(), name.c_str());
        if (edit.line > 0U && !edit.expected.empty()) {
            STRCMP_EQUAL_TEXT(std::string{edit.found}.c_str(), outcome.error.found.c_str(), name.c_str());
        }
        STRCMP_CONTAINS_TEXT(std::string{edit.expected}.c_str(), outcome.error.expected.c_str(), name.c_str());
    }
}

[[nodiscard]] std::string repeat(const std::string_view part, const std::size_t count) {
    std::string text{};
    for (std::size_t index = 0U; index < count; ++index) {
        text += part;
    }
    return text;
}

} // namespace

TEST_GROUP(hostile_input){};

// Guards against accepting invalid settings and against errors that report the wrong line or field.
TEST(hostile_input, reports_line_and_field_of_invalid_settings) {
    check_cases(parse_settings, valid_settings, settings_cases);
}

// Guards against accepting invalid catalogues and against errors that report the wrong line or field.
TEST(hostile_input, reports_line_and_field_of_invalid_catalogues) {
    check_cases(parse_catalogue, valid_catalogue, catalogue_cases);
}

// Guards against texts that consume excessive time, memory or stack.
TEST(hostile_input, rejects_oversized_texts) {
    const std::array<std::string, 13U> texts{
        std::string{},
        std::string(1'000'001U, ' '),
        std::string(1'000'000U, '['),
        std::string(1'000'000U, '{'),
        std::string(999'000U, '-'),
        repeat("- ", 400'000U),
        repeat("? ", 400'000U),
        repeat("a: ", 300'000U),
        repeat("a:\n", 300'000U),
        "services:\n" + repeat("- \n", 300'000U),
        "services: [" + repeat("{},", 300'000U) + "]",
        "services:\n" + repeat("- {name: a, owner: o}\n", 1'001U),
        "a: &a [x]\nb: &b [*a,*a,*a]\nc: &c [*b,*b,*b]\nservices: [*c,*c,*c]\n",
    };
    for (const auto& text : texts) {
        CHECK_FALSE_TEXT(read(parse_catalogue, text).accepted, text.substr(0U, 20U).c_str());
        CHECK_FALSE_TEXT(read(parse_settings, text).accepted, text.substr(0U, 20U).c_str());
    }
}

// Guards against a crash, an untyped error or an exception on corrupt texts; the fixed seed makes runs reproducible.
TEST(hostile_input, survives_mutations) {
    constexpr std::array<std::string_view, 16U> parts{"[",  "]",  "{",   "}",   ":",    ": ", "- ",   "\n",
                                                      "\t", "&a", "*a ", "!!x", "\xFF", "\"", "? \n", "999999999999"};
    std::mt19937 random{20'240'611U};
    const auto draw = [&random](const std::size_t bound) { return static_cast<std::size_t>(random()) % bound; };
    std::size_t accepted = 0U;
    const auto stored = mangopulley::encode_catalogue(
        mangopulley::append_edit({}, valid_catalogue, {"00000000000000ab", 0U, "operator", 1'700'000'000'000}));
    const std::array<std::string_view, 3U> bases{valid_settings, valid_catalogue, stored};
    for (unsigned round = 0U; round < 4'000U; ++round) {
        std::string text{bases[round % bases.size()]};
        for (auto edits = 1U + draw(4U); edits > 0U; --edits) {
            const auto position = draw(text.size());
            switch (draw(4U)) {
            case 0U:
                text[position] = static_cast<char>(draw(256U));
                break;
            case 1U:
                text.erase(position, 1U + draw(20U));
                break;
            case 2U:
                text.insert(position, parts[draw(parts.size())]);
                break;
            default:
                text.insert(position, text.substr(draw(text.size()), draw(60U)));
            }
            text += text.empty() ? "x" : "";
        }
        accepted += read(parse_settings, text).accepted ? 1U : 0U;
        accepted += read(parse_catalogue, text).accepted ? 1U : 0U;
        accepted += read(mangopulley::decode_catalogue, text).accepted ? 1U : 0U;
    }
    // Some mutated texts must remain valid; if none did, the mutations would be too strong to reach the validation.
    CHECK_TRUE(accepted > 50U && accepted < 3'000U);
}
