#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <mangopulley/loop/event_loop.hpp>
#include <mangopulley/loop/stream.hpp>

namespace fake {

/*! @brief Server on a loopback port that records raw bytes and sends what the test says, on any connection. */
class raw_peer {
public:
    struct connection {
        std::unique_ptr<mangopulley::stream> bytes{};
        std::string received{};
        bool closed{};
    };

    /*! @brief Listens; connections are read only after `read` when `paused` is set. */
    raw_peer(mangopulley::event_loop& owner, const bool paused) : loop{owner}, start_paused{paused} {}

    [[nodiscard]] std::string endpoint() const { return "127.0.0.1:" + std::to_string(this->listener->port()); }

    /*! @brief Called after each receipt of bytes. */
    std::function<void(connection& from)> on_bytes{};
    std::vector<std::shared_ptr<connection>> connections{};

private:
    void accept(const Poco::Net::StreamSocket& socket) {
        auto item = std::make_shared<connection>();
        const std::weak_ptr<connection> held = item;
        mangopulley::stream::events events{};
        events.received = [this, held](const std::string_view bytes) {
            const auto from = held.lock();
            from->received.append(bytes);
            if (this->on_bytes) {
                this->on_bytes(*from);
            }
        };
        events.closed = [held](bool) {
            const auto from = held.lock();
            from->closed = true;
            from->bytes.reset();
        };
        item->bytes =
            std::make_unique<mangopulley::stream>(this->loop, socket, mangopulley::stream_timing{}, std::move(events));
        item->bytes->pause_reading(this->start_paused);
        this->connections.push_back(std::move(item));
    }

    mangopulley::event_loop& loop;
    bool start_paused;
    std::unique_ptr<mangopulley::stream_listener> listener{std::make_unique<mangopulley::stream_listener>(
        this->loop, "127.0.0.1:0", [this](const Poco::Net::StreamSocket& socket) { this->accept(socket); })};
};

/*! @brief Returns a text whose parts all differ, so that lost, doubled or reordered bytes are noticed. */
[[nodiscard]] inline std::string numbered_text(const std::size_t size) {
    std::string text{};
    text.reserve(size + 16U);
    for (std::size_t number = 0U; text.size() < size; ++number) {
        text.append(std::to_string(number)).append(",");
    }
    text.resize(size);
    return text;
}

} // namespace fake
