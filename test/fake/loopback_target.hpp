#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <mangopulley/http/request_parser.hpp>
#include <mangopulley/loop/event_loop.hpp>
#include <mangopulley/loop/stream.hpp>

namespace fake {

/*! @brief Target on a loopback port that does with each request what the test says, and records what it got. */
class loopback_target {
public:
    struct connection {
        std::unique_ptr<mangopulley::stream> bytes{};
        mangopulley::request_parser parser;

        /*! @brief Writes raw bytes. */
        void write(const std::string& text) { this->bytes->send(text); }
        /*! @brief Ends the connection. */
        void close() { this->bytes.reset(); }
    };
    using action = std::function<void(connection& from, const mangopulley::http_request& request)>;

    loopback_target(mangopulley::event_loop& owner, std::string name, action behaviour)
        : loop{owner}, id{std::move(name)}, act{std::move(behaviour)} {}

    /*! @brief Stops listening and closes all connections. */
    void stop() {
        this->listener.reset();
        this->connections.clear();
    }

    /*! @brief Closes all connections and goes on listening, as a process that starts again at its address. */
    void close_connections() {
        for (const auto& item : this->connections) {
            item->close();
        }
    }

    /*! @brief Resets all connections and goes on listening. */
    void reset_connections() {
        for (const auto& item : this->connections) {
            if (item->bytes) {
                item->bytes->reset_on_close();
            }
            item->close();
        }
    }

    [[nodiscard]] std::string endpoint() const { return "127.0.0.1:" + std::to_string(this->number); }

    /*! @brief Writes an answer as a target that ran the request. */
    static std::string answer(const mangopulley::http_request& request, const int status, const std::string& body) {
        return "HTTP/1.1 " + std::to_string(status) + " Text\r\nX-Id: " + request.head.get("X-Id", "") +
               "\r\nX-Stamp: s\r\nX-Pace: 1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    mangopulley::event_loop& loop;
    std::string id;
    action act;
    /*! @brief Requests other than probes, in the order of their arrival. */
    std::vector<mangopulley::http_request> received{};
    int probes{};
    int accepted{};
    int lost{};

private:
    void accept(const Poco::Net::StreamSocket& socket) {
        ++this->accepted;
        mangopulley::http_limits limits{};
        limits.accept_chunked = true;
        auto item = std::make_shared<connection>(connection{nullptr, mangopulley::request_parser{limits}});
        mangopulley::stream::events events{};
        std::weak_ptr<connection> held = item;
        events.received = [this, held](const std::string_view bytes) {
            if (const auto from = held.lock()) {
                from->parser.append(bytes);
                this->serve(from);
            }
        };
        events.closed = [this, held](bool) {
            ++this->lost;
            if (const auto from = held.lock()) {
                from->close();
            }
        };
        item->bytes =
            std::make_unique<mangopulley::stream>(this->loop, socket, mangopulley::stream_timing{}, std::move(events));
        this->connections.push_back(std::move(item));
    }

    void serve(const std::shared_ptr<connection>& from) {
        while (from->bytes && from->parser.examine() == mangopulley::request_parser::state::complete) {
            const auto request = from->parser.take();
            if (request.path == "/health") {
                ++this->probes;
                from->write("HTTP/1.1 200 OK\r\nX-Pace: 1\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            this->received.push_back(request);
            this->act(*from, request);
        }
    }

    std::vector<std::shared_ptr<connection>> connections{};
    std::unique_ptr<mangopulley::stream_listener> listener{std::make_unique<mangopulley::stream_listener>(
        this->loop, "127.0.0.1:0", [this](const Poco::Net::StreamSocket& socket) { this->accept(socket); })};
    std::uint16_t number{this->listener->port()};
};

} // namespace fake
