#pragma once

#include <cstdint>
#include <string>
#include <utility>

namespace standin {

/*! @brief Owner of a file descriptor. */
class descriptor {
public:
    descriptor() noexcept = default;
    explicit descriptor(const int number) noexcept : value{number} {}
    descriptor(descriptor&& other) noexcept : value{std::exchange(other.value, -1)} {}
    descriptor& operator=(descriptor&& other) noexcept {
        std::swap(this->value, other.value);
        return *this;
    }
    descriptor(const descriptor&) = delete;
    descriptor& operator=(const descriptor&) = delete;
    ~descriptor() { this->close(); }

    [[nodiscard]] int get() const noexcept { return this->value; }
    [[nodiscard]] bool valid() const noexcept { return this->value >= 0; }
    void close() noexcept;

private:
    int value{-1};
};

/**
 * @brief Opens a non-blocking listening socket on the loopback address 127.0.0.1.
 * @param port Port to listen on.
 * @return The socket.
 * @throw std::system_error when the port is taken.
 */
[[nodiscard]] descriptor listen_on(std::uint16_t port);

/*! @brief Accepts a connection without blocking; the result is not valid when none is waiting. */
[[nodiscard]] descriptor accept_one(const descriptor& listener);

/**
 * @brief Starts a non-blocking connection.
 * @param ip IP address of the peer.
 * @param port Port of the peer.
 * @return The socket; it becomes writable when the connection is made or has failed.
 * @throw std::system_error when the address is invalid or the connection fails at once.
 */
[[nodiscard]] descriptor start_connect(const std::string& ip, std::uint16_t port);

/*! @brief Makes the close of a socket send a reset in place of an orderly end. */
void reset_at_close(const descriptor& socket) noexcept;

} // namespace standin
