#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <Poco/Net/StreamSocket.h>

#include "../core/error.hpp"
#include "event_loop.hpp"
#include "fwd.hpp"

namespace mangopulley {

/*! @brief Timeouts that detect an unresponsive peer; a network partition sends no reset. */
struct stream_timing {
    /*! @brief Maximum time for which sent bytes may remain unacknowledged. */
    milliseconds unacknowledged{3'000};
    /*! @brief Idle time before the first keep-alive probe, rounded up to whole seconds; zero disables keep-alive. */
    milliseconds keep_alive{0};
    /*! @brief Whether a peer that acknowledges but reads nothing is waited for; the owner then limits the time. */
    bool waits_for_reader{false};
};

/**
 * @brief Non-blocking TCP connection on an event loop.
 *
 * Callbacks run on the loop's thread. A stream may be destroyed inside its own callbacks. A callback that throws closes
 * the connection as broken.
 */
class stream {
public:
    /*! @brief Callbacks; each may be empty except `received` and `closed`. */
    struct events {
        /*! @brief The connection is open. */
        std::function<void()> connected{};
        /*! @brief Bytes were received. */
        std::function<void(std::string_view bytes)> received{};
        /*! @brief The operating system has accepted all bytes passed to `send`. */
        std::function<void()> drained{};
        /*! @brief The peer closed (`broken` false) or the connection failed; no callback follows. */
        std::function<void(bool broken)> closed{};
    };

    /**
     * @brief Opens a connection; `connected` or `closed` follows.
     * @param loop Event loop; must outlive the stream.
     * @param endpoint Peer as `ip:port`.
     * @param timing Timeouts that detect an unresponsive peer.
     * @param callbacks Callbacks.
     * @return The stream, or `network_error` with `connect_failed` when the connection attempt could not be started.
     */
    [[nodiscard]] static result<std::unique_ptr<stream>> connect(event_loop& loop, const std::string& endpoint,
                                                                 const stream_timing& timing, events callbacks);

    /*! @brief Takes ownership of an accepted socket. */
    stream(event_loop& loop, const Poco::Net::StreamSocket& accepted, const stream_timing& timing, events callbacks);
    stream(const stream&) = delete;
    stream& operator=(const stream&) = delete;
    /*! @brief Closes the connection; unsent bytes are lost. */
    ~stream();

    /*! @brief Queues bytes, which are sent as the socket accepts them. */
    void send(std::string_view bytes);
    /*! @brief Returns the number of queued bytes that the operating system has not accepted. */
    [[nodiscard]] std::size_t unsent() const noexcept;
    /*! @brief Returns whether the operating system has accepted any byte. */
    [[nodiscard]] bool has_sent() const noexcept;
    /*! @brief Stops or resumes reading, so that a fast peer cannot exhaust memory. */
    void pause_reading(bool paused);
    /*! @brief Shuts down the sending side; reading continues. */
    void finish_sending() noexcept;
    /*! @brief Makes the close of the connection a reset, which no peer takes for the regular end of a message. */
    void reset_on_close() noexcept;

private:
    struct implementation;
    explicit stream(std::shared_ptr<implementation> state) noexcept;
    std::shared_ptr<implementation> self;
};

/*! @brief Accepts TCP connections on an event loop. */
class stream_listener {
public:
    using accepted_callback = std::function<void(const Poco::Net::StreamSocket& socket)>;

    /**
     * @brief Binds the address and starts to listen; tries again while the address is not available.
     * @param loop Event loop; must outlive the listener.
     * @param address Local address as `ip:port`.
     * @param action Called on the loop's thread with each accepted connection.
     */
    stream_listener(event_loop& loop, const std::string& address, accepted_callback action);
    stream_listener(const stream_listener&) = delete;
    stream_listener& operator=(const stream_listener&) = delete;
    ~stream_listener();

    /*! @brief Returns why the address is not bound, or connections cannot be accepted now; nothing otherwise. */
    [[nodiscard]] std::optional<port_error> failure() const;
    /*! @brief Returns the bound port, which the operating system assigned when the address had port 0. */
    [[nodiscard]] std::uint16_t port() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
