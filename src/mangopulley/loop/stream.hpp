#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <Poco/Net/StreamSocket.h>

#include "../core/error.hpp"
#include "event_loop.hpp"
#include "fwd.hpp"

namespace mangopulley {

/*! @brief How a connection notices a peer that went silent; a partition sends no reset. */
struct stream_timing {
    /*! @brief Longest time that sent bytes may stay without acknowledgement. */
    milliseconds unacknowledged{3'000};
    /*! @brief Idle time before the first keep-alive probe, rounded up to whole seconds; none when zero. */
    milliseconds keep_alive{0};
};

/**
 * @brief Non-blocking TCP connection on an event loop.
 *
 * Callbacks run on the loop's thread. A stream may be destroyed inside its own callbacks.
 */
class stream {
public:
    /*! @brief Callbacks; each may be empty except `received` and `closed`. */
    struct events {
        /*! @brief The connection is open. */
        std::function<void()> connected{};
        /*! @brief Bytes have arrived. */
        std::function<void(std::string_view bytes)> received{};
        /*! @brief All bytes given to `send` have left the process. */
        std::function<void()> drained{};
        /*! @brief The peer closed (`broken` false) or the connection failed; no callback follows. */
        std::function<void(bool broken)> closed{};
    };

    /**
     * @brief Opens a connection; `connected` or `closed` follows.
     * @param loop Loop, which must outlive the stream.
     * @param endpoint Peer as `ip:port`.
     * @param timing Detection of silent peers.
     * @param callbacks Callbacks.
     * @return The stream, or `network_error` with `connect_failed` when the attempt could not start.
     */
    [[nodiscard]] static result<std::unique_ptr<stream>> connect(event_loop& loop, const std::string& endpoint,
                                                                 const stream_timing& timing, events callbacks);

    /*! @brief Takes over an accepted socket. */
    stream(event_loop& loop, const Poco::Net::StreamSocket& accepted, const stream_timing& timing, events callbacks);
    stream(const stream&) = delete;
    stream& operator=(const stream&) = delete;
    /*! @brief Closes the connection; unsent bytes are lost. */
    ~stream();

    /*! @brief Queues bytes; they are sent as the peer takes them. */
    void send(std::string_view bytes);
    /*! @brief Returns the number of bytes that the peer has not taken. */
    [[nodiscard]] std::size_t unsent() const noexcept;
    /*! @brief Tells whether any byte was handed to the operating system. */
    [[nodiscard]] bool has_sent() const noexcept;
    /*! @brief Stops or resumes reading, so that a fast peer cannot fill the memory. */
    void pause_reading(bool paused);
    /*! @brief Tells the peer that no bytes follow; reading goes on. */
    void finish_sending() noexcept;

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
     * @brief Binds and listens.
     * @param loop Loop, which must outlive the listener.
     * @param address Address as `ip:port`.
     * @param action Called with each connection.
     * @throw Poco::Exception when the address is in use.
     */
    stream_listener(event_loop& loop, const std::string& address, accepted_callback action);
    stream_listener(const stream_listener&) = delete;
    stream_listener& operator=(const stream_listener&) = delete;
    ~stream_listener();

    /*! @brief Returns the port, which the system chose when the address named port 0. */
    [[nodiscard]] std::uint16_t port() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
