#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <mangopulley/http/http_session.hpp>

#include <CppUTest/TestHarness.h>

using namespace mangopulley;

namespace {

/*! @brief Server of one connection that answers with a beginning and then one text over and over. */
class endless_peer {
public:
    endless_peer(std::string beginning, std::string repeated, const std::size_t most, const milliseconds pause = {})
        : worker{[this, beginning = std::move(beginning), repeated = std::move(repeated), most, pause] {
              this->serve(beginning, repeated, most, pause);
          }} {}
    endless_peer(const endless_peer&) = delete;
    endless_peer& operator=(const endless_peer&) = delete;
    ~endless_peer() { this->worker.join(); }

    [[nodiscard]] std::string endpoint() const { return this->listener.address().toString(); }
    [[nodiscard]] std::size_t sent() const noexcept { return this->bytes; }

private:
    void serve(const std::string& beginning, const std::string& repeated, const std::size_t most,
               const milliseconds pause) {
        try {
            auto socket = this->listener.acceptConnection();
            socket.sendBytes(beginning.data(), static_cast<int>(beginning.size()));
            while (this->bytes < most) {
                socket.sendBytes(repeated.data(), static_cast<int>(repeated.size()));
                this->bytes += repeated.size();
                std::this_thread::sleep_for(pause);
            }
        } catch (const Poco::Exception&) { // NOLINT(bugprone-empty-catch)
            // The session has closed the connection.
        }
    }

    Poco::Net::ServerSocket listener{Poco::Net::SocketAddress{"127.0.0.1:0"}};
    std::atomic<std::size_t> bytes{};
    std::thread worker;
};

} // namespace

TEST_GROUP(http_session){/*! @brief Sends a request and returns whether reading its answer failed. */
                         static bool answer_fails(const endless_peer& peer, const milliseconds limit){
                             const auto session = http_session::connect(peer.endpoint(), std::chrono::seconds{10});
Poco::Net::HTTPRequest request{"GET", "/", Poco::Net::HTTPMessage::HTTP_1_1};
request.setContentLength(0);
session->limit_receive(limit);
session->send(request, {});
Poco::Net::HTTPResponse response{};
try {
    static_cast<void>(session->receive(response));
    return false;
} catch (const Poco::Exception&) {
    return true;
}
}
}
;

// Guards against a worker that is lost to a target which sends bytes that are no answer without end.
TEST(http_session, gives_up_answers_without_end) {
    struct endless_case {
        const char* name;
        std::string beginning;
        std::string repeated;
    };
    const std::string chunked{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"};
    const std::string text(10'000U, 'x');
    const endless_case cases[]{
        {"interim answers", "", "HTTP/1.1 100 Continue\r\nX-Note: " + std::string(4'000U, 'x') + "\r\n\r\n"},
        {"fields", "HTTP/1.1 200 OK\r\n", "X-Note: " + std::string(4'000U, 'x') + "\r\n"},
        {"a field", "HTTP/1.1 200 OK\r\nX-Note: ", text},
        {"a body", "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", text},
        {"a chunk extension", chunked + "1;", text},
        {"chunks", chunked, "2710\r\n" + text + "\r\n"},
    };
    constexpr std::size_t bound = 100'000'000U;
    for (const auto& item : cases) {
        const endless_peer peer{item.beginning, item.repeated, bound};
        CHECK_TRUE_TEXT(answer_fails(peer, std::chrono::seconds{60}), item.name);
        CHECK_TRUE_TEXT(peer.sent() < bound, item.name);
    }
}

// Guards against a call that outlasts its deadline because each part of the answer comes in time.
TEST(http_session, bounds_the_time_of_a_whole_answer) {
    constexpr std::size_t parts = 400U;
    const endless_peer peer{"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n", "x", parts, milliseconds{25}};
    CHECK_TRUE(answer_fails(peer, milliseconds{200}));
    CHECK_TRUE(peer.sent() < parts / 2U);
}

// Guards against a field of a target's answer that holds line ends once its encoded word is decoded, and adds fields to
// the reply that its value is copied to.
TEST(http_session, rejects_fields_whose_encoded_words_hold_line_ends) {
    const std::string answer{"HTTP/1.1 200 OK\r\nContent-Type: =?UTF-8?Q?text=0D=0AX-Other:_1?=\r\n"
                             "Content-Length: 2\r\n\r\nab"};
    const endless_peer peer{answer, "", 0U};
    CHECK_TRUE(answer_fails(peer, std::chrono::seconds{10}));
}
