#pragma once

#include <atomic>
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

namespace fake {

/*! @brief Server of one connection that answers with a beginning and then one text over and over. */
class endless_peer {
public:
    endless_peer(std::string beginning, std::string repeated, const std::size_t most,
                 const std::chrono::milliseconds pause = {})
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
               const std::chrono::milliseconds pause) {
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

} // namespace fake
