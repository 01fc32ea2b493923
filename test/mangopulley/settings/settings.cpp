#include <string>

#include <mangopulley/settings/settings.hpp>

#include <CppUTest/TestHarness.h>

namespace {

constexpr std::string_view full_text =
    R"(instance: {name: entry-1, ip: 10.0.0.1, caller_port: 8080, operator_port: 8081, peer_port: 8082,
           zone: riga-a, region: riga}
store: {address: "10.0.0.9:80", timeout_ms: 250}
director:
  endpoints: ["http://10.0.0.7:9000/alert", http://10.0.0.8/]
log: {level: warn}
workers: 64
)";

} // namespace

TEST_GROUP(settings){};

// Guards against fields that are read into the wrong member.
TEST(settings, reads_every_field) {
    boost::leaf::try_handle_all(
        [&]() -> mangopulley::result<void> {
            BOOST_LEAF_AUTO(read, mangopulley::parse_settings("test", full_text));
            CHECK_TRUE(read.instance_name == "entry-1");
            CHECK_TRUE(read.caller_address() == "10.0.0.1:8080");
            CHECK_TRUE(read.operator_address() == "10.0.0.1:8081");
            CHECK_TRUE(read.peer_address() == "10.0.0.1:8082");
            CHECK_TRUE(read.zone == "riga-a");
            CHECK_TRUE(read.region == "riga");
            CHECK_TRUE(read.store_address == "10.0.0.9:80");
            CHECK_EQUAL(250, read.store_timeout.count());
            CHECK_EQUAL(2U, read.director_endpoints.size());
            CHECK_TRUE(read.director_endpoints.back() == "http://10.0.0.8/");
            CHECK_TRUE(read.log_level == "warn");
            CHECK_EQUAL(64U, read.workers);
            return {};
        },
        [](const mangopulley::input_error& error) { FAIL((error.field + ": " + error.expected).c_str()); },
        [] { FAIL("untyped error"); });
}

// Guards against defaults that differ from those of the settings type.
TEST(settings, keeps_defaults_of_optional_fields) {
    std::string text{full_text.substr(0U, full_text.find("log:"))};
    text.erase(text.find(", timeout_ms: 250"), std::string_view{", timeout_ms: 250"}.size());
    const auto read = mangopulley::parse_settings("test", text);
    CHECK_TRUE(read.has_value());
    const mangopulley::settings defaults{};
    CHECK_EQUAL(defaults.store_timeout.count(), read->store_timeout.count());
    CHECK_TRUE(read->log_level == defaults.log_level);
    CHECK_EQUAL(defaults.workers, read->workers);
}
