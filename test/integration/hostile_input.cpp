#include <array>
#include <atomic>
#include <chrono>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include "../standin/common/journal.hpp"
#include "control_plane.hpp"

#include <CppUTest/TestHarness.h>

namespace {

using control_plane::milliseconds;
using control_plane::test_clock;

constexpr std::string_view catalogue = R"(services:
  - name: seals
    owner: tests
    kinds:
      - {name: read, idempotent: true, timeout_ms: 2000}
      - {name: confirm, timeout_ms: 2000}
)";

// Longer than the 5 s that a caller has for sending a request.
constexpr milliseconds answer_limit{8'000};

/*! @brief Bytes as they are sent, and the status that answers them. */
struct hostile_case {
    const char* name;
    std::string bytes;
    /*! @brief Expected status; 0 when the connection ends without an answer. */
    int status;
    /*! @brief Whether the sending side is closed after the bytes. */
    bool close_after;
};

[[nodiscard]] std::string request(const std::string& headers, const std::string& body = "x",
                                  const std::string& path = "/v1/services/seals/kinds/read") {
    return "POST " + path + " HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n" + body;
}

[[nodiscard]] std::string framed(const std::string& header, const std::string& path = "/v1/services/seals/kinds/read") {
    return request("Content-Length: 1\r\n" + header + (header.empty() ? "" : "\r\n"), "x", path);
}

[[nodiscard]] std::string many_headers(const std::size_t count) {
    std::string lines{};
    for (std::size_t index = 0U; index < count; ++index) {
        lines += "X-" + std::to_string(index) + ": 1\r\n";
    }
    return lines;
}

[[nodiscard]] std::vector<hostile_case> hostile_cases() {
    const std::string confirm = "/v1/services/seals/kinds/confirm";
    const std::string home = "0000000000000001";
    return {
        {"no HTTP", "\x16\x03\x01\x02 garbage\r\n\r\n", 400, false},
        {"empty request line", "\r\n\r\n\r\n", 400, false},
        {"unknown version", "POST / HTTP/9.9\r\nHost: a\r\nContent-Length: 0\r\n\r\n", 400, false},
        {"no version", "GET /v1/addresses\r\n\r\n", 400, false},
        {"target without slash", "POST seals HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", 400, false},
        {"method with a control character", "PO\x01ST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", 400, false},
        {"no Host", "POST /v1/services/seals/kinds/read HTTP/1.1\r\nContent-Length: 1\r\n\r\nx", 400, false},
        {"target of 5000 characters", "GET /" + std::string(5'000U, 'a') + " HTTP/1.1\r\nHost: a\r\n\r\n", 414, false},
        {"head of 20 KiB", framed("X-Long: " + std::string(20'480U, 'a')), 431, false},
        {"head without end", "POST / HTTP/1.1\r\nX: " + std::string(20'480U, 'a'), 431, false},
        {"200 header lines", request("Content-Length: 1\r\n" + many_headers(200U)), 431, false},
        {"header line without colon", framed("no colon here"), 400, false},
        {"white space before the colon", framed("X-Space : 1"), 400, false},
        {"folded header line", framed("X-Fold: a\r\n b"), 400, false},
        {"NUL in a header", framed(std::string{"X-Nul: a\0b", 10U}), 400, false},
        {"bare line feed in a header", framed("X-Feed: a\nInjected: 1"), 400, false},
        {"no length", request(""), 411, false},
        {"chunked body", request("Transfer-Encoding: chunked\r\n", "1\r\nx\r\n0\r\n\r\n"), 411, false},
        {"length and chunked", request("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n"), 400, false},
        {"two lengths that differ", request("Content-Length: 1\r\nContent-Length: 2\r\n", "xy"), 400, false},
        {"two equal lengths", request("Content-Length: 1\r\nContent-Length: 1\r\n"), 400, false},
        {"negative length", request("Content-Length: -1\r\n"), 400, false},
        {"length with a sign", request("Content-Length: +1\r\n"), 400, false},
        {"list of lengths", request("Content-Length: 1, 1\r\n"), 400, false},
        {"length beyond 64 bits", request("Content-Length: 99999999999999999999999\r\n"), 400, false},
        {"body above 1 MiB", request("Content-Length: 1048577\r\n", ""), 413, false},
        {"unknown service", framed("", "/v1/services/nothing/kinds/read"), 404, false},
        {"unknown kind", framed("", "/v1/services/seals/kinds/nothing"), 404, false},
        {"path that climbs", framed("", "/v1/services/../kinds/read"), 404, false},
        {"malformed escape in the path", framed("", "/v1/services/%zz/kinds/read"), 404, false},
        {"unknown method", "BREW / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", 405, false},
        {"deadline 0", framed("Mangopulley-Timeout-Ms: 0"), 400, false},
        {"deadline above 60 s", framed("Mangopulley-Timeout-Ms: 60001"), 400, false},
        {"deadline that is no number", framed("Mangopulley-Timeout-Ms: soon"), 400, false},
        {"deadline beyond 64 bits", framed("Mangopulley-Timeout-Ms: 99999999999999999999999"), 400, false},
        {"depth 21", framed("Mangopulley-Depth: 21"), 400, false},
        {"negative depth", framed("Mangopulley-Depth: -1"), 400, false},
        {"retry budget above the bound", framed("Mangopulley-Retry-Budget: 1000"), 400, false},
        {"traceparent with other characters", framed("traceparent: 00-<script>"), 400, false},
        {"no key for a kind that is not idempotent", framed("", confirm), 400, false},
        {"key with too few fields", framed("Idempotency-Key: a~b", confirm), 400, false},
        {"key whose home is its witness", framed("Idempotency-Key: " + home + '~' + home + "~-~1700000000~a", confirm),
         400, false},
        {"key with 65 characters of its own",
         framed("Idempotency-Key: " + home + "~-~-~1700000000~" + std::string(65U, 'a'), confirm), 400, false},
        {"key of 300 characters", framed("Idempotency-Key: " + std::string(300U, 'a'), confirm), 400, false},
        {"truncated head", "POST /v1/services/seals/kinds/read HTTP/1.1\r\nHost:", 0, true},
        {"truncated body", request("Content-Length: 100\r\n"), 0, true},
        {"head that never ends", "POST /v1/services/seals/kinds/read HTTP/1.1\r\nHost: a\r\n", 408, false},
        {"body that never ends", request("Content-Length: 100\r\n"), 408, false},
    };
}

/*! @brief Sends bytes and returns the status of the answer, or 0 when the connection ended without one. */
[[nodiscard]] int send_raw(const std::string& address, const std::string& bytes, const bool close_after) {
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress{address}};
    socket.setReceiveTimeout(Poco::Timespan{answer_limit.count() * Poco::Timespan::MILLISECONDS});
    std::string answer{};
    try {
        for (std::size_t sent = 0U; sent < bytes.size();) {
            sent +=
                static_cast<std::size_t>(socket.sendBytes(bytes.data() + sent, static_cast<int>(bytes.size() - sent)));
        }
        if (close_after) {
            socket.shutdownSend();
        }
        std::array<char, 4096U> part{};
        while (answer.find("\r\n") == std::string::npos) {
            const auto count = socket.receiveBytes(part.data(), static_cast<int>(part.size()));
            if (count <= 0) {
                break;
            }
            answer.append(part.data(), static_cast<std::size_t>(count));
        }
    } catch (const Poco::TimeoutException&) {
        return -1;
    } catch (const Poco::Exception&) {
        // A reset after the answer, or in its place; what has come decides.
    }
    return answer.starts_with("HTTP/1.1 ") && answer.size() >= 12U ? std::stoi(answer.substr(9U, 3U)) : 0;
}

/*! @brief Sends a byte at a time, so that no read of the server returns a whole request. */
[[nodiscard]] int send_slowly(const std::string& address, const std::string& bytes) {
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress{address}};
    socket.setNoDelay(true);
    socket.setReceiveTimeout(Poco::Timespan{answer_limit.count() * Poco::Timespan::MILLISECONDS});
    for (const char one : bytes) {
        socket.sendBytes(&one, 1);
        std::this_thread::sleep_for(milliseconds{1});
    }
    std::array<char, 64U> part{};
    const auto count = socket.receiveBytes(part.data(), static_cast<int>(part.size()));
    return count >= 12 ? std::stoi(std::string{part.data() + 9, 3U}) : 0;
}

/*! @brief Caller that sends sound requests one after another and counts the answers. */
class sound_caller {
public:
    explicit sound_caller(const standin::cluster& fleet)
        : thread{[this, &fleet](const std::stop_token& stop) {
              while (!stop.stop_requested()) {
                  const auto reply = fleet.request(0U, "seals", "read", "sound");
                  const bool good = reply.status == 200 && reply.json().value("body", "") == "sound";
                  ++(good ? this->answered : this->failed);
                  std::this_thread::sleep_for(milliseconds{5});
              }
          }} {}

    std::atomic<unsigned> answered{};
    std::atomic<unsigned> failed{};

private:
    std::jthread thread;
};

} // namespace

TEST_GROUP(hostile_input) {
    standin::cluster fleet{[] {
        standin::cluster_options chosen{};
        chosen.binary_folder = MANGOPULLEY_BINARY_DIR;
        chosen.entries = 1U;
        chosen.workers = 4U;
        chosen.services = {{"seals", 2U, {"--service-time-us", "500"}}};
        return chosen;
    }()};
};

// Guards against input that ends the process, is passed on to a target, gets a misleading status, or keeps the workers
// from a caller that does nothing wrong.
TEST(hostile_input, answers_each_malformed_request_and_serves_others) {
    CHECK_TRUE(control_plane::start(fleet, catalogue));
    CHECK_TRUE(standin::wait_until([&] { return fleet.request(0U, "seals", "read", "sound").status == 200; },
                                   control_plane::start_limit));
    const auto incarnation = fleet.state(0U).at("instance").at("incarnation");
    const auto cases = hostile_cases();
    std::vector<int> found(cases.size(), -1);
    int slow_status{};
    {
        sound_caller caller{fleet};
        {
            std::vector<std::jthread> senders{};
            for (std::size_t index = 0U; index < cases.size(); ++index) {
                senders.emplace_back([&, index] {
                    found[index] = send_raw(fleet.caller_address(0U), cases[index].bytes, cases[index].close_after);
                });
            }
            slow_status = send_slowly(fleet.caller_address(0U), request("Content-Length: 4\r\n", "slow"));
        }
        CHECK_TRUE(standin::wait_until([&] { return caller.answered > 20U; }, control_plane::start_limit));
        CHECK_EQUAL(0U, caller.failed.load());
    }
    for (std::size_t index = 0U; index < cases.size(); ++index) {
        CHECK_EQUAL_TEXT(cases[index].status, found[index], cases[index].name);
    }
    CHECK_EQUAL(200, slow_status);
    CHECK_TRUE(fleet.entry(0U).running());
    CHECK_TRUE(incarnation == fleet.state(0U).at("instance").at("incarnation"));
    const std::set<std::string> sound{standin::body_digest("sound"), standin::body_digest("slow")};
    for (const auto& event : fleet.journal("seals")) {
        CHECK_TRUE_TEXT(sound.contains(event.at("digest").get<std::string>()),
                        "a target received a request that had to be rejected");
    }
}

// Guards against connections that are opened and left, which must not use up what other callers need.
TEST(hostile_input, serves_beside_three_hundred_unfinished_requests) {
    CHECK_TRUE(control_plane::start(fleet, catalogue));
    CHECK_TRUE(standin::wait_until([&] { return fleet.request(0U, "seals", "read", "sound").status == 200; },
                                   control_plane::start_limit));
    std::vector<Poco::Net::StreamSocket> unfinished{};
    const std::string part = "POST /v1/services/seals/kinds/read HTTP/1.1\r\nHost: a\r\nContent-Length: 50\r\n\r\npart";
    for (unsigned count = 0U; count < 300U; ++count) {
        unfinished.emplace_back(Poco::Net::SocketAddress{fleet.caller_address(0U)});
        unfinished.back().sendBytes(part.data(), static_cast<int>(part.size()));
    }
    const sound_caller caller{fleet};
    CHECK_TRUE(standin::wait_until([&] { return caller.answered > 50U; }, control_plane::start_limit));
    CHECK_EQUAL(0U, caller.failed.load());
}
