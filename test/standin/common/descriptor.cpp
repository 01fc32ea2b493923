#include "descriptor.hpp"

#include <cerrno>
#include <system_error>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace standin {

namespace {

constexpr int backlog = 1024;

[[noreturn]] void fail(const char* what) {
    throw std::system_error{errno, std::generic_category(), what};
}

[[nodiscard]] descriptor tcp_socket() {
    descriptor socket{::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
    if (!socket.valid()) {
        fail("socket");
    }
    return socket;
}

void set_option(const descriptor& socket, const int level, const int option, const int value) {
    ::setsockopt(socket.get(), level, option, &value, sizeof(value));
}

} // namespace

void descriptor::close() noexcept {
    if (this->value >= 0) {
        ::close(this->value);
        this->value = -1;
    }
}

descriptor listen_on(const std::uint16_t port) {
    auto socket = tcp_socket();
    set_option(socket, SOL_SOCKET, SO_REUSEADDR, 1);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 ||
        ::listen(socket.get(), backlog) != 0) {
        fail("listen");
    }
    return socket;
}

descriptor accept_one(const descriptor& listener) {
    descriptor socket{::accept4(listener.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)};
    if (socket.valid()) {
        set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    }
    return socket;
}

descriptor start_connect(const std::string& ip, const std::uint16_t port) {
    auto socket = tcp_socket();
    set_option(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    if (::inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1) {
        errno = EINVAL;
        fail("address");
    }
    if (::connect(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0 &&
        errno != EINPROGRESS) {
        fail("connect");
    }
    return socket;
}

void reset_at_close(const descriptor& socket) noexcept {
    const linger value{1, 0};
    ::setsockopt(socket.get(), SOL_SOCKET, SO_LINGER, &value, sizeof(value));
}

} // namespace standin
