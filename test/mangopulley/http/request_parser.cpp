#include <optional>
#include <string>
#include <vector>

#include <mangopulley/http/request_parser.hpp>

#include <CppUTest/TestHarness.h>

using mangopulley::http_limits;
using mangopulley::request_parser;

namespace {

struct rejection {
    const char* fault;
    std::string bytes;
    int status;
};

[[nodiscard]] std::string post(const std::string& headers, const std::string& body = {}) {
    return "POST /v1/services/proof/kinds/browse HTTP/1.1\r\nHost: entry\r\n" + headers + "\r\n" + body;
}

} // namespace

TEST_GROUP(request_parser){};

// Guards against requests that other programs on the way would frame differently, and against unbounded memory.
TEST(request_parser, rejects_each_malformed_request_with_its_status) {
    const std::vector<rejection> cases{
        {"two lengths", post("Content-Length: 1\r\nContent-Length: 2\r\n", "ab"), 400},
        {"two equal lengths", post("Content-Length: 1\r\nContent-Length: 1\r\n", "a"), 400},
        {"length and chunked", post("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n", "a"), 400},
        {"chunked body", post("Transfer-Encoding: chunked\r\n", "0\r\n\r\n"), 411},
        {"no length", post(""), 411},
        {"negative length", post("Content-Length: -1\r\n"), 400},
        {"signed length", post("Content-Length: +1\r\n", "a"), 400},
        {"length with text", post("Content-Length: 1x\r\n", "a"), 400},
        {"length beyond 64 bits", post("Content-Length: 99999999999999999999999\r\n"), 400},
        {"body too long", post("Content-Length: 1048577\r\n"), 413},
        {"space before colon", post("Content-Length : 1\r\n", "a"), 400},
        {"folded header", post("X-A: b\r\n c\r\nContent-Length: 0\r\n"), 400},
        {"header without colon", post("Content-Length 1\r\n"), 400},
        {"control character", post(std::string{"X-A: \x01\r\nContent-Length: 0\r\n"}), 400},
        {"bare line feed", "POST / HTTP/1.1\nHost: a\r\n\r\n", 400},
        {"no host", "GET /v1/addresses HTTP/1.1\r\n\r\n", 400},
        {"unknown version", "GET / HTTP/3.7\r\nHost: a\r\n\r\n", 400},
        {"absolute target", "GET http://other/ HTTP/1.1\r\nHost: a\r\n\r\n", 400},
        {"target too long", "GET /" + std::string(5000U, 'a') + " HTTP/1.1\r\nHost: a\r\n\r\n", 414},
        {"head too long", "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(20000U, 'a'), 431},
        {"binary noise", std::string(200U, '\x16') + "\r\n\r\n", 400},
        {"request line without blanks", "HTTP/1.1\r\nHost: a\r\n\r\n", 400},
        {"request line with one blank", "GET HTTP/1.1\r\nHost: a\r\n\r\n", 400},
        {"blank in the target", "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n", 400},
        {"empty request line", "\r\nHost: a\r\n\r\n", 400},
        {"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
        {"two equal hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: a\r\n\r\n", 400},
        {"empty method", " / HTTP/1.1\r\nHost: a\r\n\r\n", 400},
    };
    for (const auto& item : cases) {
        request_parser parser{http_limits{}};
        parser.append(item.bytes);
        CHECK_TRUE_TEXT(parser.examine() == request_parser::state::rejected, item.fault);
        CHECK_EQUAL_TEXT(item.status, parser.rejection_status(), item.fault);
    }
}

// Guards against a body whose end a target finds elsewhere, because it reads another of two codings.
TEST(request_parser, rejects_two_transfer_codings) {
    http_limits limits{};
    limits.accept_chunked = true;
    for (const std::string second : {"gzip", "chunked"}) {
        request_parser parser{limits};
        parser.append(post("Transfer-Encoding: chunked\r\nTransfer-Encoding: " + second + "\r\n"));
        CHECK_TRUE(parser.examine() == request_parser::state::rejected);
        CHECK_EQUAL(400, parser.rejection_status());
    }
}

// Guards against a proper request rejected because of the line end that some callers send after a body.
TEST(request_parser, ignores_an_empty_line_before_a_request) {
    request_parser parser{http_limits{}};
    for (const char* bytes : {"\r", "\nGET /1 HTTP/1.1\r\nHost: a\r\n\r\n", "\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n"}) {
        parser.append(bytes);
        static_cast<void>(parser.examine());
    }
    for (const char* path : {"/1", "/2"}) {
        CHECK_TRUE(parser.examine() == request_parser::state::complete);
        CHECK_TRUE(parser.take().path == path);
    }
    parser.append("\r\n");
    CHECK_TRUE(parser.examine() == request_parser::state::incomplete);
    CHECK_FALSE_TEXT(parser.started(), "an empty line alone is no request that is too slow");
    parser.append("\r\n\r\n");
    CHECK_TRUE_TEXT(parser.examine() == request_parser::state::rejected, "more empty lines are no request");
    CHECK_EQUAL(400, parser.rejection_status());
}

// Guards against a request of many header lines that costs memory for each.
TEST(request_parser, rejects_too_many_headers) {
    std::string headers{};
    for (int index = 0; index < 200; ++index) {
        headers += "X-" + std::to_string(index) + ": a\r\n";
    }
    request_parser parser{http_limits{}};
    parser.append(post(headers));
    CHECK_TRUE(parser.examine() == request_parser::state::rejected);
    CHECK_EQUAL(431, parser.rejection_status());
}

// Guards against a proper request rejected by a limit that nobody set: the head's length alone bounds its parts.
TEST(request_parser, accepts_every_head_within_the_limits_in_force) {
    http_limits limits{};
    limits.longest_target = limits.longest_head;
    limits.most_headers = 500U;
    std::string many_fields{};
    for (int index = 0; index < 400; ++index) {
        many_fields += "X-" + std::to_string(index) + ": a\r\n";
    }
    const std::string long_target(10'000U, 'a');
    const std::vector<std::string> heads{
        "GET /" + long_target + " HTTP/1.1\r\nHost: a\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(12'000U, 'x') + "\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\n" + std::string(300U, 'n') + ": x\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: a\r\n" + many_fields + "\r\n",
        "A-METHOD-OF-MORE-THAN-THIRTY-TWO-LETTERS / HTTP/1.1\r\nHost: a\r\n\r\n",
    };
    for (const auto& head : heads) {
        request_parser parser{limits};
        parser.append(head);
        CHECK_TRUE_TEXT(parser.examine() == request_parser::state::complete, head.substr(0U, 60U).c_str());
        CHECK_TRUE(parser.take().head.get("Host") == "a");
    }
}

// Guards against field values that are altered on their way to the target.
TEST(request_parser, keeps_field_values_as_received) {
    request_parser parser{http_limits{}};
    parser.append("GET / HTTP/1.1\r\nHost:a\r\nX: \t =?utf-8?Q?caf=C3=A9?= b \t\r\nY:\r\n\r\n");
    CHECK_TRUE(parser.examine() == request_parser::state::complete);
    const auto request = parser.take();
    CHECK_TRUE(request.head.get("Host") == "a");
    CHECK_TRUE(request.header("Y") == std::optional<std::string>{""});
    const auto field = request.head.find("X");
    CHECK_TRUE(field->second == "=?utf-8?Q?caf=C3=A9?= b");
}

// Guards against a request that is answered before it has arrived whole, or mixed with the next one.
TEST(request_parser, takes_two_requests_from_single_bytes) {
    const auto first = post("Content-Length: 3\r\n", "abc");
    const auto bytes = first + post("Content-Length: 2\r\n", "de");
    request_parser parser{http_limits{}};
    std::vector<std::string> bodies{};
    for (const char byte : bytes) {
        parser.append({&byte, 1U});
        if (parser.examine() == request_parser::state::complete) {
            bodies.push_back(parser.take().body);
        }
    }
    CHECK_EQUAL(2U, bodies.size());
    CHECK_TRUE(bodies[0] == "abc");
    CHECK_TRUE(bodies[1] == "de");
    CHECK_FALSE(parser.started());
}

// Guards against query values that are read undecoded or from another parameter.
TEST(request_parser, reads_query_parameters) {
    request_parser parser{http_limits{}};
    parser.append("GET /v1/addresses?xservice=a&service=lot%20payments HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK_TRUE(parser.examine() == request_parser::state::complete);
    const auto request = parser.take();
    CHECK_TRUE(request.path == "/v1/addresses");
    CHECK_TRUE(request.parameter("service") == "lot payments");
    CHECK_FALSE(request.parameter("kind").has_value());
}
