#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <list>
#include <string>
#include <thread>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <mangopulley/http/http_message.hpp>
#include <mangopulley/http/request_parser.hpp>

namespace fake {

/*! @brief Server on a loopback port that answers each request with the bytes that the test gives. */
class scripted_peer {
public:
    struct reply {
        std::string bytes{};
        /*! @brief Whether the connection ends in order behind the bytes. */
        bool close{};
    };
    /*! @brief Gives the reply to a request; `number` counts the requests on its connection, from 1. Called by the
     * connection's own thread. */
    using action = std::function<reply(const mangopulley::http_request& request, std::size_t number)>;

    explicit scripted_peer(action behaviour) : act{std::move(behaviour)}, acceptor{[this] { this->serve(); }} {}
    scripted_peer(const scripted_peer&) = delete;
    scripted_peer& operator=(const scripted_peer&) = delete;
    ~scripted_peer() {
        this->stopping = true;
        this->acceptor.join();
        for (auto& worker : this->workers) {
            worker.join();
        }
    }

    [[nodiscard]] std::string endpoint() const { return this->listener.address().toString(); }
    [[nodiscard]] std::size_t connections() const noexcept { return this->accepted; }

private:
    void serve() {
        while (!this->stopping) {
            if (this->listener.poll(period, Poco::Net::Socket::SELECT_READ)) {
                ++this->accepted;
                this->workers.emplace_back(
                    [this, socket = this->listener.acceptConnection()]() mutable { this->serve_connection(socket); });
            }
        }
    }

    void serve_connection(Poco::Net::StreamSocket& socket) {
        mangopulley::request_parser parser{mangopulley::http_limits{}};
        std::size_t number{};
        try {
            while (!this->stopping) {
                if (parser.examine() == mangopulley::request_parser::state::complete) {
                    const auto answer = this->act(parser.take(), ++number);
                    socket.sendBytes(answer.bytes.data(), static_cast<int>(answer.bytes.size()));
                    if (answer.close) {
                        return;
                    }
                    continue;
                }
                if (!socket.poll(period, Poco::Net::Socket::SELECT_READ)) {
                    continue;
                }
                char buffer[16'384];
                const int count = socket.receiveBytes(buffer, sizeof(buffer));
                if (count <= 0) {
                    return;
                }
                parser.append({buffer, static_cast<std::size_t>(count)});
            }
        } catch (const Poco::Exception&) { // NOLINT(bugprone-empty-catch)
            // The client has closed the connection.
        }
    }

    inline static const Poco::Timespan period{0, 10'000};
    Poco::Net::ServerSocket listener{Poco::Net::SocketAddress{"127.0.0.1:0"}};
    action act;
    std::atomic<bool> stopping{};
    std::atomic<std::size_t> accepted{};
    std::list<std::thread> workers{};
    std::thread acceptor;
};

} // namespace fake
