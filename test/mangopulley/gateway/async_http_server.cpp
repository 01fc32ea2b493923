#include <memory>
#include <string>
#include <vector>

#include <mangopulley/gateway/async_http_server.hpp>
#include <mangopulley/loop/stream.hpp>

#include <CppUTest/TestHarness.h>

using namespace mangopulley;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(async_http_server) {
    system_clock_source time{};
    event_loop loop{time};
    http_limits limits{};
    std::vector<std::shared_ptr<http_server_exchange>> exchanges{};
    bool answer_immediately{true};
    std::unique_ptr<async_http_server> server{};
    std::unique_ptr<stream> caller{};
    std::string received{};
    bool closed{};

    void setup() override {
        limits.accept_chunked = true;
    }

    void teardown() override {
        exchanges.clear();
        caller.reset();
        server.reset();
    }

    void connect() {
        server = std::make_unique<async_http_server>(
            loop, "127.0.0.1:0", [this] { return limits; },
            [this](const std::shared_ptr<http_server_exchange>& exchange) {
                exchanges.push_back(exchange);
                if (answer_immediately) {
                    exchange->respond("HTTP/1.1 200 OK\r\n", exchange->request().path, false);
                }
            });
        stream::events events{};
        events.received = [this](const std::string_view bytes) { received.append(bytes); };
        events.closed = [this](bool) { closed = true; };
        boost::leaf::try_handle_all(
            [&]() -> result<void> {
                BOOST_LEAF_ASSIGN(caller, stream::connect(loop, "127.0.0.1:" + std::to_string(server->port()),
                                                          stream_timing{}, std::move(events)));
                return {};
            },
            [] { FAIL("no connection"); });
    }

    template <typename Condition>
    void await(Condition condition) {
        const auto deadline = time.now() + seconds{10};
        while (!condition() && time.now() < deadline) {
            loop.turn(milliseconds{5});
            if (server) {
                server->expire();
            }
        }
        CHECK_TRUE(condition());
    }

    static std::string get(const std::string& path) {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
    }
};

// Guards against responses in another order than the pipelined requests of the connection.
TEST(async_http_server, responds_to_pipelined_requests_in_order) {
    connect();
    caller->send(get("/1") + get("/2") + get("/3"));
    await([this] { return exchanges.size() == 3U; });
    await([this] { return received.find("/3") != std::string::npos; });
    CHECK_TRUE(received.find("/1") < received.find("/2"));
    CHECK_TRUE(received.find("/2") < received.find("/3"));
}

// Guards against continued work for a caller that has closed its connection.
TEST(async_http_server, notifies_when_a_waiting_caller_disconnects) {
    answer_immediately = false;
    connect();
    caller->send(get("/1"));
    await([this] { return exchanges.size() == 1U; });
    bool disconnected = false;
    exchanges.front()->on_disconnect([&disconnected] { disconnected = true; });
    caller.reset();
    await([&disconnected] { return disconnected; });
    exchanges.front()->respond("HTTP/1.1 200 OK\r\n", "late", false);
    LONGS_EQUAL(0, server->connections());
}

// Guards against a shutdown that loses requests already sent, or that keeps callers connected to a stopping instance.
TEST(async_http_server, closes_each_connection_after_its_response_when_draining) {
    connect();
    caller->send(get("/1"));
    await([this] { return received.find("/1") != std::string::npos; });
    CHECK_FALSE(closed);
    server->close_after_responses();
    caller->send(get("/2"));
    await([this] { return closed; });
    CHECK_TRUE(received.find("/2") != std::string::npos);
    CHECK_TRUE(received.find("Connection: close") != std::string::npos);
}

// Guards against callers that occupy a connection by sending slowly or not at all.
TEST(async_http_server, closes_slow_and_idle_connections) {
    limits.longest_receive = milliseconds{50};
    limits.longest_idle = milliseconds{50};
    connect();
    caller->send("GET /1 HT");
    await([this] { return closed; });
    CHECK_TRUE(received.find(" 408 ") != std::string::npos);
    received.clear();
    closed = false;
    connect();
    await([this] { return closed; });
    CHECK_TRUE(received.empty());
}

// Guards against processing a malformed request, or a request that follows it on the same connection.
TEST(async_http_server, rejects_malformed_requests_and_closes) {
    connect();
    caller->send("GET / HTTP/1.1\r\nBad Header: 1\r\n\r\n" + get("/2"));
    await([this] { return closed; });
    CHECK_TRUE(received.find(" 400 ") != std::string::npos);
    LONGS_EQUAL(0, exchanges.size());
}
