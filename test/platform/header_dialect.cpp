#include <string>
#include <vector>

#include <platform/header_dialect.hpp>

#include <CppUTest/TestHarness.h>

using namespace mangopulley;
using platform::header_dialect;
using platform::parse_load;
using std::chrono::milliseconds;

TEST_GROUP(header_dialect) {
    header_dialect speech{};
};

// Guards against load figures read wrongly, and against trust in malformed ones.
TEST(header_dialect, reads_the_load_field) {
    const auto three = parse_load("3,1,8");
    CHECK_TRUE(three.has_value());
    LONGS_EQUAL(3, three->running);
    LONGS_EQUAL(1, three->waiting);
    LONGS_EQUAL(8, three->slots);
    DOUBLES_EQUAL(1.0, three->pace, 0.0);
    DOUBLES_EQUAL(5.0, parse_load("0, 0, 2, 500")->pace, 0.0);
    for (const char* text : {"", "1", "1,2", "a,b,c", "1,2,3,x", "-1,0,2", ",,"}) {
        CHECK_FALSE_TEXT(parse_load(text).has_value(), text);
    }
}

// Guards against requests without their id, their time or the name of the only target that may run them.
TEST(header_dialect, translates_requests) {
    http_request request{};
    request.head.set("Mangopulley-Request-Id", "9c41");
    request.head.set("Mangopulley-Deadline-Ms", "800");
    const auto facts = speech.read_request(request);
    STRCMP_EQUAL("9c41", facts.id.c_str());
    CHECK_TRUE(facts.time_left == milliseconds{800});
    request.head.set("Mangopulley-Deadline-Ms", "soon");
    CHECK_FALSE(speech.read_request(request).time_left.has_value());
    CHECK_TRUE(speech.sets_field("mangopulley-deadline-ms"));
    CHECK_FALSE(speech.sets_field("Mangopulley-Request-Id"));
    listed_target target{};
    target.id = "i-7";
    std::string head{};
    speech.write_fields(head, target, milliseconds{250});
    STRCMP_EQUAL("Mangopulley-Deadline-Ms: 250\r\nMangopulley-Target-Instance: i-7\r\n", head.c_str());
}

// Guards against a proof of not running that a target did not give.
TEST(header_dialect, translates_responses) {
    http_response response{};
    CHECK_FALSE(speech.read_response(response).genuine);
    CHECK_FALSE(speech.read_response(response).not_run);
    response.head.set("Mangopulley-Response-Stamp", "s");
    response.head.set("Mangopulley-Not-Executed", "1");
    response.head.set("Mangopulley-Instance-Id", "i-7");
    const auto facts = speech.read_response(response);
    CHECK_TRUE(facts.genuine);
    CHECK_TRUE(facts.not_run);
    STRCMP_EQUAL("i-7", facts.target.c_str());
}

// Guards against look-ups that callers cannot read.
TEST(header_dialect, translates_lookups) {
    http_request request{};
    request.path = "/v1/resolve";
    request.query = "name=h.example&region=r&zone=z";
    const auto query = speech.read_address_query(request);
    CHECK_TRUE(query.has_value());
    STRCMP_EQUAL("h.example", query->host.c_str());
    STRCMP_EQUAL("z", query->zone.c_str());
    const std::vector<std::string> endpoints{"10.0.0.1:80"};
    STRCMP_EQUAL(R"({"addresses":["10.0.0.1:80"],"ttl_s":1.3})",
                 speech.write_addresses(endpoints, milliseconds{1'300}).body.c_str());
    request.path = "/v1/ready";
    CHECK_TRUE(speech.asks_readiness(request));
    CHECK_FALSE(speech.read_address_query(request).has_value());
}
