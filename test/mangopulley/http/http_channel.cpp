#include <memory>
#include <optional>
#include <string>

#include <fake/await.hpp>
#include <fake/raw_peer.hpp>
#include <mangopulley/http/http_channel.hpp>

#include <CppUTest/TestHarness.h>

using namespace mangopulley;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t longest_body = 64'000'000U;
constexpr std::size_t longest_held = 100'000U;
constexpr std::string_view request_head{"PUT / HTTP/1.1\r\nContent-Length: 1000000\r\n\r\n"};

} // namespace

TEST_GROUP(http_channel) {
    system_clock_source time{};
    event_loop loop{time};
    std::unique_ptr<fake::raw_peer> peer{};
    std::unique_ptr<http_channel> channel{};
    std::optional<exchange_outcome> outcome{};
    std::string body{};
    std::optional<body_part::state> end{};
    fake::awaiter await{loop};

    void teardown() override {
        channel.reset();
        peer.reset();
    }

    void open(const bool paused = false) {
        peer = std::make_unique<fake::raw_peer>(loop, paused);
        channel = std::make_unique<http_channel>(loop, peer->endpoint(), stream_timing{}, longest_body);
        outcome.reset();
        body.clear();
        end.reset();
    }

    void send(const std::string_view head, const std::string_view text, const bool body_follows = false,
              http_channel::response_filter filter = {}) {
        channel->send({head, text, body_follows, false, longest_held}, std::move(filter),
                      [this](exchange_outcome&& seen) { outcome.emplace(std::move(seen)); });
    }

    void pass(const int turns) {
        for (int turn = 0; turn < turns; ++turn) {
            loop.turn(milliseconds{1});
        }
    }

    void read_all() {
        channel->read_body([this](body_part&& part) {
            body.append(part.bytes);
            if (part.position == body_part::state::more) {
                read_all();
            } else {
                end = part.position;
            }
        });
    }

    /*! @brief Sends text without end on the peer's first connection until the channel closes it or a bound is reached.
     */
    std::size_t flood(const std::string& beginning, const std::string& repeated, const std::size_t most) {
        await([this] { return !peer->connections.empty(); });
        auto& connection = *peer->connections.front();
        connection.bytes->send(beginning);
        std::size_t sent = 0U;
        while (sent < most && connection.bytes && !outcome) {
            if (connection.bytes->unsent() == 0U) {
                connection.bytes->send(repeated);
                sent += repeated.size();
            }
            loop.turn(milliseconds{1});
        }
        return sent;
    }
};

// Guards against an upload that fails or is altered because the target reads slowly.
TEST(http_channel, sends_a_long_body_to_a_slow_reader) {
    open(true);
    const auto text = fake::numbered_text(1'000'000U);
    send(request_head, text);
    await([this] { return !peer->connections.empty(); });
    auto& connection = *peer->connections.front();
    const auto whole = request_head.size() + text.size();
    // Reads about 1 KB at a time.
    peer->on_bytes = [](fake::raw_peer::connection& from) { from.bytes->pause_reading(true); };
    await([&] {
        connection.bytes->pause_reading(false);
        return connection.received.size() >= whole;
    });
    CHECK_TRUE(connection.received == std::string{request_head} + text);
    CHECK_FALSE(outcome.has_value());
    connection.bytes->send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    await([this] { return outcome.has_value(); });
    CHECK_TRUE(outcome->reusable);
}

// Guards against reuse of a connection whose peer answered before the whole request was sent: it would take the rest
// for the next request.
TEST(http_channel, does_not_reuse_a_connection_answered_in_mid_body) {
    open();
    send(request_head, "the beginning", true);
    await([this] { return !peer->connections.empty() && !peer->connections.front()->received.empty(); });
    CHECK_TRUE(channel->all_sent());
    CHECK_FALSE(channel->request_complete());
    peer->connections.front()->bytes->send("HTTP/1.1 413 Long\r\nContent-Length: 0\r\n\r\n");
    await([this] { return outcome.has_value(); });
    LONGS_EQUAL(413, outcome->response.status());
    CHECK_FALSE(outcome->reusable);
    CHECK_FALSE(channel->available());
}

// Guards against a long response that is altered when it is read in parts, or held whole in memory.
TEST(http_channel, reads_a_long_response_in_parts) {
    open();
    const auto text = fake::numbered_text(8'000'000U);
    send("GET / HTTP/1.1\r\n\r\n", {});
    await([this] { return !peer->connections.empty() && !peer->connections.front()->received.empty(); });
    auto& connection = *peer->connections.front();
    connection.bytes->send("HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n" + text);
    await([this] { return outcome.has_value(); });
    CHECK_TRUE(outcome->body_follows);
    body = outcome->response.body;
    CHECK_TRUE(body.size() >= longest_held && body.size() < 2U * longest_held);
    pass(100);
    CHECK_TRUE_TEXT(connection.bytes->unsent() > 1'000'000U, "the sender is slowed down while nobody reads");
    read_all();
    await([this] { return end.has_value(); });
    CHECK_TRUE(*end == body_part::state::last);
    CHECK_TRUE(body == text);
    CHECK_TRUE(channel->available());
}

// Guards against a response that breaks off and is taken for complete.
TEST(http_channel, reports_a_long_response_that_breaks_off) {
    for (const std::string framing : {"Content-Length: 8000000\r\n", "Transfer-Encoding: chunked\r\n"}) {
        open();
        send("GET / HTTP/1.1\r\n\r\n", {});
        await([this] { return !peer->connections.empty() && !peer->connections.front()->received.empty(); });
        auto& connection = *peer->connections.front();
        connection.bytes->send("HTTP/1.1 200 OK\r\n" + framing + "\r\n7a1200\r\n" + std::string(300'000U, 'x'));
        await([this] { return outcome.has_value(); });
        read_all();
        pass(20);
        connection.bytes.reset();
        await([this] { return end.has_value(); });
        CHECK_TRUE(*end == body_part::state::broken);
        CHECK_FALSE(channel->available());
    }
}

// Guards against memory and time lost to bytes that are no response and never end.
TEST(http_channel, limits_bytes_that_never_become_a_response) {
    struct flood_case {
        const char* name;
        std::string beginning;
        std::string repeated;
    };
    const std::vector<flood_case> cases{
        {"head without end", "HTTP/1.1 200 OK\r\n", "X-Field: " + std::string(4'000U, 'x') + "\r\n"},
        {"head line without end", "HTTP/1.1 200 OK\r\nX: ", std::string(4'000U, 'x')},
        {"interim responses without end", "", "HTTP/1.1 102 Processing\r\n\r\n"},
        {"chunk extension without end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
         std::string(4'000U, 'x')},
        {"chunk extensions without end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
         "1;" + std::string(2'000U, 'x') + "\r\ny\r\n"},
        {"trailer fields without end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
         "X-Field: " + std::string(2'000U, 'x') + "\r\n"},
        {"responses to other requests without end", "", "HTTP/1.1 200 OK\r\nX-Other: 1\r\nContent-Length: 0\r\n\r\n"},
    };
    constexpr std::size_t bound = 1'000'000U;
    for (const auto& item : cases) {
        open();
        send("GET / HTTP/1.1\r\n\r\n", {}, false,
             [](const http_response& response) { return !response.head.has("X-Other"); });
        CHECK_TRUE_TEXT(flood(item.beginning, item.repeated, bound) < bound, item.name);
        CHECK_TRUE_TEXT(outcome && outcome->failure == network_error::code::malformed, item.name);
    }
}

// Guards against a connection that takes in bytes without end while no request is open on it.
TEST(http_channel, stops_reading_bytes_that_belong_to_no_request) {
    open();
    send("GET / HTTP/1.1\r\n\r\n", {});
    await([this] { return !peer->connections.empty() && !peer->connections.front()->received.empty(); });
    auto& connection = *peer->connections.front();
    connection.bytes->send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    await([this] { return outcome.has_value(); });
    connection.bytes->send(fake::numbered_text(16'000'000U));
    pass(200);
    CHECK_FALSE(channel->available());
    const auto unsent = connection.bytes->unsent();
    CHECK_TRUE(unsent > 0U);
    pass(200);
    LONGS_EQUAL(unsent, connection.bytes->unsent());
}
