#include <atomic>
#include <string>
#include <thread>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <mangopulley/http/http_server.hpp>

#include <CppUTest/TestHarness.h>

TEST_GROUP(http_server){};

// Guards against a second process on a port in use: the system would hand each of the two a part of the connections.
TEST(http_server, shares_its_port_with_no_other_server) {
    const auto port = Poco::Net::ServerSocket{Poco::Net::SocketAddress{"127.0.0.1", 0}}.address().toString();
    const auto answer = [](mangopulley::http_request&& /*request*/) { return mangopulley::http_reply{}; };
    mangopulley::http_server first{"first", port, 1U, {}, answer};
    mangopulley::http_server second{"second", port, 1U, {}, answer};
    first.start();
    CHECK_THROWS(Poco::Exception, second.start());
    first.stop();
}

// Guards against a state dump, asked for at the operator port, that ends the process while the caller port still
// starts.
TEST(http_server, tells_its_numbers_while_it_starts) {
    const auto port = Poco::Net::ServerSocket{Poco::Net::SocketAddress{"127.0.0.1", 0}}.address().toString();
    const auto answer = [](mangopulley::http_request&& /*request*/) { return mangopulley::http_reply{}; };
    for (unsigned round = 0U; round < 20U; ++round) {
        mangopulley::http_server server{"server", port, 8U, {}, answer};
        std::atomic<bool> asking{};
        std::jthread observer{[&](const std::stop_token& stop) {
            while (!stop.stop_requested()) {
                static_cast<void>(server.numbers());
                asking = true;
            }
        }};
        while (!asking) {
            std::this_thread::yield();
        }
        server.start();
        observer.request_stop();
        observer.join();
        CHECK_EQUAL(0U, server.numbers().in_progress);
        server.stop();
    }
}

// Guards against a reply to HEAD with a body, which the caller would take for the beginning of the next response.
TEST(http_server, sends_no_body_in_reply_to_head) {
    const auto port = Poco::Net::ServerSocket{Poco::Net::SocketAddress{"127.0.0.1", 0}}.address().toString();
    mangopulley::http_server server{"server", port, 1U, {}, [](mangopulley::http_request&& request) {
                                        return mangopulley::text_reply(404, request.path);
                                    }};
    server.start();
    Poco::Net::StreamSocket caller{Poco::Net::SocketAddress{port}};
    const std::string requests{"HEAD /first HTTP/1.1\r\nHost: h\r\n\r\n"
                               "GET /second HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"};
    caller.sendBytes(requests.data(), static_cast<int>(requests.size()));
    std::string received{};
    char buffer[1'024]; // NOLINT(cppcoreguidelines-pro-type-member-init)
    for (int count = caller.receiveBytes(buffer, sizeof(buffer)); count > 0;) {
        received.append(buffer, static_cast<std::size_t>(count));
        count = caller.receiveBytes(buffer, sizeof(buffer));
    }
    const auto first_end = received.find("\r\n\r\n") + 4U;
    CHECK_TRUE_TEXT(received.substr(first_end).starts_with("HTTP/1.1 404 "), received.c_str());
    CHECK_TRUE_TEXT(received.ends_with("/second"), received.c_str());
    server.stop();
}

// Guards against a request that its caller broke off in its head or body, and that is run nevertheless.
TEST(http_server, runs_no_request_that_was_cut) {
    std::atomic<std::size_t> run{};
    const auto port = Poco::Net::ServerSocket{Poco::Net::SocketAddress{"127.0.0.1", 0}}.address().toString();
    mangopulley::http_server server{"server", port, 1U, {}, [&](mangopulley::http_request&& /*request*/) {
                                        ++run;
                                        return mangopulley::http_reply{};
                                    }};
    server.start();
    for (const std::string whole : {"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nX-Note: a\r\n\r\n",
                                    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n\r\n\r\n"}) {
        for (std::size_t cut = 0U; cut <= whole.size(); ++cut) {
            run = 0U;
            Poco::Net::StreamSocket caller{Poco::Net::SocketAddress{port}};
            caller.sendBytes(whole.data(), static_cast<int>(cut));
            caller.shutdownSend();
            char buffer[1'024]; // NOLINT(cppcoreguidelines-pro-type-member-init)
            while (caller.receiveBytes(buffer, sizeof(buffer)) > 0) {
            }
            CHECK_EQUAL_TEXT(cut == whole.size() ? 1U : 0U, run.load(), whole.substr(0U, cut).c_str());
        }
    }
    server.stop();
}
