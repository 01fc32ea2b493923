#pragma once

#include <functional>
#include <memory>

#include <Poco/Net/Socket.h>

#include "../core/clock.hpp"
#include "fwd.hpp"

namespace mangopulley {

/**
 * @brief Runs callbacks of sockets and timers on one thread.
 *
 * An instance has a fraction of one core, so that one thread serves all connections; no table of the gateway needs a
 * lock. All functions except `stop` must be called on the loop's thread or before `run`.
 */
class event_loop {
public:
    /*! @brief Called with the `Poco::Net::PollSet` modes that are ready. */
    using ready_callback = std::function<void(int modes)>;
    using callback = std::function<void()>;

    /*! @brief Prepares a loop; the clock must outlive it. */
    explicit event_loop(const clock& time);
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    ~event_loop();

    /*! @brief Returns the monotonic time. */
    [[nodiscard]] time_point now() const noexcept;
    /*!
     * @brief Returns the earliest time at which what is served now can have arrived.
     *
     * While the loop was busy, bytes waited in the operating system; a deadline counted from when they are read would
     * be too late by that time.
     */
    [[nodiscard]] time_point earliest_arrival() const noexcept;
    /*! @brief Returns when the present turn began to serve sockets. */
    [[nodiscard]] time_point turn_began() const noexcept;
    /*! @brief Returns how late timers fire, smoothed; long when the process gets too little of the core. */
    [[nodiscard]] duration lag() const noexcept;

    /**
     * @brief Calls a function once.
     * @param delay Time from now; timers fire up to 1 ms late.
     * @param action Function.
     * @return Name for `cancel`.
     */
    timer_id after(duration delay, callback action);
    /*! @brief Calls a function at a fixed period until `cancel`. */
    timer_id every(duration period, callback action);
    /*! @brief Drops a timer; does nothing when it has fired or was dropped. */
    void cancel(timer_id timer) noexcept;

    /*! @brief Starts to poll a socket, which must be non-blocking. */
    void watch(const Poco::Net::Socket& socket, int modes, ready_callback action);
    /*! @brief Changes the modes of a watched socket. */
    void change(const Poco::Net::Socket& socket, int modes);
    /*! @brief Stops to poll a socket; must be called before it is closed. */
    void forget(const Poco::Net::Socket& socket) noexcept;

    /*! @brief Serves sockets and timers until `stop`. */
    void run();
    /*! @brief Serves sockets and timers once, waiting at most the given time; for tests. */
    void turn(duration longest_wait);
    /*! @brief Ends `run` soon; may be called from any thread. */
    void stop() noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
