#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <fake/loopback_target.hpp>
#include <fake/plain_dialect.hpp>
#include <mangopulley/gateway/caller_port.hpp>
#include <mangopulley/gateway/forwarder.hpp>
#include <mangopulley/http/http_channel.hpp>

#include <CppUTest/TestHarness.h>

using namespace mangopulley;
using fake::loopback_target;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using connection = loopback_target::connection;

/*! @brief What became of a caller's request. */
struct reply {
    std::optional<network_error_code> failure{};
    int status{};
    std::string body{};
    std::string retry_after{};
    bool stamped{};
};

} // namespace

TEST_GROUP(forwarder) {
    system_clock_source time{};
    event_loop loop{time};
    fake::plain_dialect speech{};
    route_table routes{};
    metrics numbers{time};
    decision_log log{"test", time, 1'000.0};
    std::unique_ptr<forwarder> requests{};
    std::unique_ptr<caller_port> port{};
    std::vector<std::unique_ptr<loopback_target>> targets{};
    std::vector<std::unique_ptr<http_channel>> callers{};

    void setup() override {
        requests = std::make_unique<forwarder>(forwarder::parts{loop, speech, routes, numbers, log},
                                               target_choice_rule{}, scheduling_rule{}, forwarding_rule{});
        requests->configure(repeat_rule{0.2, 1'000.0, seconds{10}}, 1U, 1'000.0);
        http_limits limits{};
        limits.accept_chunked = true;
        port = std::make_unique<caller_port>(
            loop, "127.0.0.1:0", [limits] { return limits; },
            [this](const auto& exchange) { requests->handle(exchange); });
    }

    void teardown() override {
        callers.clear();
        port.reset();
        requests.reset();
        targets.clear();
    }

    void configure(const duration time_limit = milliseconds{1'500}, const std::uint32_t attempts = 2U) {
        routing_config config{};
        config.revision = routes.current()->revision + 1U;
        config.version = config.revision;
        config.services = {{"proof", "/health", 220U}};
        config.routes = {{"get", "h", "/get/", true, time_limit, milliseconds{300}, 1U, attempts, {{"proof", 1.0}}},
                         {"put", "h", "/put/", false, time_limit, milliseconds{300}, 1U, attempts, {{"proof", 1.0}}}};
        CHECK_TRUE(routes.apply(config));
    }

    loopback_target& add_target(loopback_target::action action) {
        targets.push_back(
            std::make_unique<loopback_target>(loop, "t" + std::to_string(targets.size()), std::move(action)));
        list_targets();
        return *targets.back();
    }

    void list_targets() {
        target_list list{1U, {}};
        for (const auto& target : targets) {
            listed_target item{};
            item.id = target->id;
            item.service = "proof";
            item.endpoint = target->endpoint();
            item.slots = 2U;
            list.targets.push_back(item);
        }
        requests->update_targets(list);
    }

    static loopback_target::action answering(const int status, const std::string& body) {
        return [status, body](connection& from, const http_request& request) {
            from.write(loopback_target::answer(request, status, body));
        };
    }

    /*! @brief Turns the loop until a condition holds; fails the test when it does not within a generous time. */
    template <typename Condition>
    void await(Condition condition) {
        const auto latest = time.now() + seconds{10};
        while (!condition() && time.now() < latest) {
            loop.turn(milliseconds{5});
        }
        CHECK_TRUE(condition());
    }

    std::shared_ptr<reply> start(const std::string& method, const std::string& path, const std::string& fields,
                                 const std::string& body = {}) {
        auto seen = std::make_shared<reply>();
        callers.push_back(std::make_unique<http_channel>(loop, "127.0.0.1:" + std::to_string(port->port()),
                                                         stream_timing{}, 1'000'000U));
        callers.back()->send(method + " " + path + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n" + body, false, {},
                             [seen](exchange_outcome&& outcome) {
                                 seen->failure = outcome.failure;
                                 seen->status = outcome.failure ? -1 : outcome.response.status();
                                 seen->body = outcome.response.body;
                                 seen->retry_after = outcome.response.head.get("Retry-After", "");
                                 seen->stamped = outcome.response.head.has("X-Stamp");
                             });
        return seen;
    }

    reply ask(const std::string& method, const std::string& path, const std::string& fields = "X-Id: 1\r\n",
              const std::string& body = {}) {
        const auto seen = start(method, path, fields, body);
        await([&seen] { return seen->status != 0; });
        return *seen;
    }
};

// Guards against a request or an answer that is changed on the way.
TEST(forwarder, passes_request_and_answer_on_unchanged) {
    configure();
    auto& target = add_target([](connection& from, const http_request& request) {
        from.write("HTTP/1.1 201 Made\r\nX-Id: " + request.head.get("X-Id") +
                   "\r\nX-Stamp: s\r\nX-Note: kept\r\nKeep-Alive: timeout=9\r\nConnection: X-Drop\r\nX-Drop: 1\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    });
    const auto seen = ask("PUT", "/put/a%20b?c=d%26e",
                          "X-Id: 17\r\nX-Time-Left: 900\r\nX-Other: kept\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"
                          "Transfer-Encoding: chunked\r\n",
                          "5\r\nhello\r\n0\r\n\r\n");
    LONGS_EQUAL(201, seen.status);
    STRCMP_EQUAL("abc", seen.body.c_str());
    LONGS_EQUAL(1, target.received.size());
    const auto& got = target.received.front();
    STRCMP_EQUAL("PUT", got.head.getMethod().c_str());
    STRCMP_EQUAL("/put/a%20b?c=d%26e", got.head.getURI().c_str());
    STRCMP_EQUAL("hello", got.body.c_str());
    STRCMP_EQUAL("17", got.head.get("X-Id").c_str());
    STRCMP_EQUAL("kept", got.head.get("X-Other").c_str());
    STRCMP_EQUAL("t0", got.head.get("X-Target").c_str());
    CHECK_TRUE(std::stol(got.head.get("X-Time-Left")) <= 900);
    CHECK_FALSE(got.head.has("X-Hop"));
}

// Guards against false answers of this instance's own: 404 before it knows the routes, and no answer without targets.
TEST(forwarder, answers_itself_only_what_it_knows) {
    LONGS_EQUAL(503, ask("GET", "/get/a").status);
    configure();
    LONGS_EQUAL(404, ask("GET", "/other/").status);
    const auto without = ask("GET", "/get/a");
    LONGS_EQUAL(503, without.status);
    CHECK_TRUE(std::stod(without.retry_after) > 0.0);
    LONGS_EQUAL(400, ask("GET", "/get/a", "").status);
}

// Guards against a non-idempotent request that runs twice, and against a false word that it has not run. Each row is a
// way in which the first target fails after it got the request.
TEST(forwarder, sends_a_non_idempotent_request_once_when_it_may_have_run) {
    struct row {
        const char* fault;
        loopback_target::action action;
    };
    const std::vector<row> rows{
        {"closes", [](connection& from, const http_request&) { from.close(); }},
        {"cuts the answer short",
         [](connection& from, const http_request& request) {
             from.write("HTTP/1.1 200 OK\r\nX-Id: " + request.head.get("X-Id") +
                        "\r\nX-Stamp: s\r\nContent-Length: 9\r\n\r\nabc");
             from.close();
         }},
        {"sends garbage", [](connection& from, const http_request&) { from.write("%%% no answer \r\n\r\n"); }},
        {"answers without proof",
         [](connection& from, const http_request& request) {
             from.write("HTTP/1.1 200 OK\r\nX-Id: " + request.head.get("X-Id") + "\r\nContent-Length: 0\r\n\r\n");
         }},
        {"answers in an encoding",
         [](connection& from, const http_request& request) {
             from.write("HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nX-Stamp: s\r\nX-Id: " + request.head.get("X-Id") +
                        "\r\nContent-Length: 1\r\n\r\nz");
         }},
        {"answers 503 though it ran", answering(503, "")},
        {"answers 429 though it ran", answering(429, "")},
    };
    configure();
    for (const auto& item : rows) {
        targets.clear();
        add_target(item.action);
        add_target(item.action);
        const auto seen = ask("PUT", "/put/a", "X-Id: 5\r\nContent-Length: 1\r\n", "x");
        LONGS_EQUAL_TEXT(502, seen.status, item.fault);
        LONGS_EQUAL_TEXT(1, targets[0]->received.size() + targets[1]->received.size(), item.fault);
    }
}

// Guards against callers refused although another target could run their request.
TEST(forwarder, goes_elsewhere_when_a_target_did_not_run_the_request) {
    configure();
    const auto shedding = [](connection& from, const http_request& request) {
        from.write("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Id: " + request.head.get("X-Id") +
                   "\r\nContent-Length: 0\r\n\r\n");
    };
    bool first = true;
    const auto once = [&first, shedding](connection& from, const http_request& request) {
        if (std::exchange(first, false)) {
            shedding(from, request);
        } else {
            from.write(loopback_target::answer(request, 200, "run"));
        }
    };
    add_target(once);
    add_target(once);
    const auto seen = ask("PUT", "/put/a", "X-Id: 5\r\nContent-Length: 1\r\n", "x");
    LONGS_EQUAL(200, seen.status);
    targets.clear();
    add_target(shedding);
    add_target(shedding);
    add_target(shedding);
    const auto refused = ask("PUT", "/put/a", "X-Id: 6\r\nContent-Length: 1\r\n", "x");
    LONGS_EQUAL(503, refused.status);
    CHECK_TRUE(std::stod(refused.retry_after) > 0.0);
    LONGS_EQUAL_TEXT(2, targets[0]->received.size() + targets[1]->received.size() + targets[2]->received.size(),
                     "no more sends than the route's attempts");
}

// Guards against requests lost with a target that has crashed: no byte was sent, so that any request may go elsewhere.
TEST(forwarder, goes_elsewhere_when_no_connection_can_be_made) {
    configure();
    auto& dead = add_target(answering(200, "dead"));
    auto& live = add_target(answering(200, "live"));
    dead.stop();
    for (int number = 0; number < 6; ++number) {
        const auto seen = ask("PUT", "/put/a", "X-Id: 5\r\nContent-Length: 1\r\n", "x");
        LONGS_EQUAL(200, seen.status);
        STRCMP_EQUAL("live", seen.body.c_str());
    }
    LONGS_EQUAL(6, live.received.size());
}

// Guards against an idempotent request that fails although a second send could save it, and against a failure of a
// target that is replaced by one of our own.
TEST(forwarder, sends_an_idempotent_request_again_after_a_failure) {
    configure();
    bool first = true;
    const auto fails_once = [&first](connection& from, const http_request& request) {
        from.write(loopback_target::answer(request, std::exchange(first, false) ? 500 : 200, "body"));
    };
    add_target(fails_once);
    add_target(fails_once);
    LONGS_EQUAL(200, ask("GET", "/get/a").status);
    targets.clear();
    add_target(answering(500, "own"));
    add_target(answering(500, "own"));
    const auto failed = ask("GET", "/get/a");
    LONGS_EQUAL(500, failed.status);
    STRCMP_EQUAL("own", failed.body.c_str());
    CHECK_TRUE(failed.stamped);
}

// Guards against the answer to one request being given to another: late and second answers come on kept connections.
TEST(forwarder, gives_no_caller_the_answer_to_another_request) {
    configure();
    std::string previous{};
    add_target([&previous](connection& from, const http_request& request) {
        const auto answer = loopback_target::answer(request, 200, request.head.get("X-Id"));
        // A late answer to the request before comes first, and a second answer to this one last.
        from.write(previous + answer + answer);
        previous = answer;
    });
    for (int number = 1; number <= 8; ++number) {
        const auto id = std::to_string(number);
        const auto seen = ask("GET", "/get/a", "X-Id: " + id + "\r\n");
        LONGS_EQUAL(200, seen.status);
        STRCMP_EQUAL(id.c_str(), seen.body.c_str());
    }
}

// Guards against callers held past the time limit of their route, whatever they are ready to wait.
TEST(forwarder, answers_at_the_time_limit) {
    configure(milliseconds{150});
    auto& target = add_target([](connection&, const http_request&) {});
    const auto seen = ask("PUT", "/put/a", "X-Id: 5\r\nX-Time-Left: 60000\r\nContent-Length: 1\r\n", "x");
    LONGS_EQUAL(504, seen.status);
    CHECK_TRUE(std::stol(target.received.front().head.get("X-Time-Left")) <= 150);
    LONGS_EQUAL(0, requests->open());
}

// Guards against targets at work for callers that have left, and against a cut in a non-idempotent request.
TEST(forwarder, cancels_idempotent_work_of_a_caller_that_leaves) {
    configure(seconds{8});
    auto& target = add_target([](connection&, const http_request&) {});
    start("GET", "/get/a", "X-Id: 1\r\n");
    await([&target] { return target.received.size() == 1U; });
    callers.clear();
    await([&target] { return target.lost >= 1; });
    LONGS_EQUAL(0, requests->open());
    const auto lost = target.lost;
    start("PUT", "/put/a", "X-Id: 2\r\nContent-Length: 1\r\n", "x");
    await([&target] { return target.received.size() == 2U; });
    callers.clear();
    await([this] { return requests->open() == 0U; });
    LONGS_EQUAL(lost, target.lost);
}

// Guards against a caller that waits for one stuck target although another one is free.
TEST(forwarder, asks_a_second_target_when_the_first_is_stuck) {
    configure(seconds{8});
    bool first = true;
    const auto stuck_once = [&first](connection& from, const http_request& request) {
        if (!std::exchange(first, false)) {
            from.write(loopback_target::answer(request, 200, "second"));
        }
    };
    add_target(stuck_once);
    add_target(stuck_once);
    const auto seen = ask("GET", "/get/a");
    STRCMP_EQUAL("second", seen.body.c_str());
    LONGS_EQUAL(2, targets[0]->received.size() + targets[1]->received.size());
}

// Guards against the rest of a long body being taken for the next request: the target answers before it has read it.
TEST(forwarder, keeps_no_connection_whose_request_was_not_read) {
    configure();
    auto& target = add_target(answering(413, "early"));
    LONGS_EQUAL(413, ask("PUT", "/put/a", "X-Id: 1\r\nContent-Length: 400000\r\n", std::string(400'000U, 'x')).status);
    LONGS_EQUAL(413, ask("PUT", "/put/a", "X-Id: 2\r\nContent-Length: 1\r\n", "x").status);
    LONGS_EQUAL(2, target.received.size());
}

// Guards against a new connection for every request.
TEST(forwarder, reuses_connections_to_targets) {
    configure();
    auto& target = add_target(answering(200, "ok"));
    for (int number = 0; number < 20; ++number) {
        LONGS_EQUAL(200, ask("GET", "/get/a").status);
    }
    CHECK_TRUE(target.accepted <= 2);
}
