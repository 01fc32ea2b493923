#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <mangopulley/peer/peer_server.hpp>

#include <CppUTest/TestHarness.h>

TEST_GROUP(peer_server){};

// Guards against two processes on one port, where the kernel would give each a part of the connections.
TEST(peer_server, refuses_to_start_on_a_port_in_use) {
    const auto port = Poco::Net::ServerSocket{Poco::Net::SocketAddress{"127.0.0.1", 0}}.address().toString();
    mangopulley::peer_server first{port};
    mangopulley::peer_server second{port};
    first.start();
    CHECK_THROWS(Poco::Exception, second.start());
    first.stop();
}
