#pragma once

#include <exception>
#include <functional>
#include <memory>

#include <Poco/Net/Socket.h>

#include "../core/clock.hpp"
#include "fwd.hpp"

namespace mangopulley {

/**
 * @brief Single-threaded event loop that dispatches socket events and timers.
 *
 * An instance has only a fraction of one core, so one thread serves all connections and the gateway's tables need no
 * locks. All functions except `stop` must be called on the loop's thread or before `run`.
 */
class event_loop {
public:
    /*! @brief Called with the bit mask of ready `Poco::Net::PollSet` modes. */
    using ready_callback = std::function<void(int modes)>;
    using callback = std::function<void()>;
    /*! @brief Called with an exception that left a callback of the loop. */
    using failure_listener = std::function<void(const std::exception& error)>;

    /**
     * @brief Creates a loop.
     * @param time Clock, which must outlive the loop.
     * @param on_failure Called when a callback ends with an exception, after which the loop goes on. If it is empty,
     * the exception leaves `turn` and `run`.
     */
    explicit event_loop(const clock& time, failure_listener on_failure = {});
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    ~event_loop();

    /*! @brief Returns the monotonic time. */
    [[nodiscard]] time_point now() const noexcept;
    /*!
     * @brief Returns the earliest time at which the data read in this turn can have arrived.
     *
     * While the loop is busy, incoming data waits in kernel buffers; a deadline counted from the time of reading
     * would be too late by that delay.
     */
    [[nodiscard]] time_point earliest_arrival() const noexcept;
    /*! @brief Returns the time at which the current turn started to dispatch socket events. */
    [[nodiscard]] time_point turn_began() const noexcept;
    /*! @brief Returns the smoothed lateness of timers; it is high when the process is CPU-starved. */
    [[nodiscard]] duration lag() const noexcept;

    /**
     * @brief Calls a function once.
     * @param delay Time from now; an idle loop fires timers up to 1 ms late.
     * @param action Function to call.
     * @return Timer id for `cancel`.
     */
    timer_id after(duration delay, callback action);
    /*! @brief Calls a function periodically until `cancel`; the period counts from the turn of the previous call. */
    timer_id every(duration period, callback action);
    /*! @brief Cancels a timer; does nothing when it has fired or was cancelled. */
    void cancel(timer_id timer) noexcept;

    /*! @brief Starts polling a socket, which must be non-blocking. */
    void watch(const Poco::Net::Socket& socket, int modes, ready_callback action);
    /*! @brief Changes the poll modes of a watched socket. */
    void change(const Poco::Net::Socket& socket, int modes);
    /*! @brief Stops polling a socket; must be called before the socket is closed. */
    void forget(const Poco::Net::Socket& socket) noexcept;

    /*! @brief Dispatches socket events and timers until `stop`. */
    void run();
    /*! @brief Polls once, waiting at most the given time, and runs due timers; called directly by tests only. */
    void turn(duration longest_wait);
    /*! @brief Makes `run` return after the current turn; may be called from any thread. */
    void stop() noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
