#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <mangopulley/peer/peer_server.hpp>

#include <CppUTest/TestHarness.h>

TEST_GROUP(peer_server){};

// Guards against a second process on a port in use: the system would hand each of the two a part of the connections.
TEST(peer_server, shares_its_port_with_no_other_server) {
    const auto port = Poco::Net::ServerSocket{Poco::Net::SocketAddress{"127.0.0.1", 0}}.address().toString();
    mangopulley::peer_server first{port};
    mangopulley::peer_server second{port};
    first.start();
    CHECK_THROWS(Poco::Exception, second.start());
    first.stop();
}
