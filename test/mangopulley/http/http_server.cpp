#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
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
