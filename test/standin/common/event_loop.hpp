#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace standin {

/*! @brief Waits for sockets and timers in one thread; only `stop` can be called from another thread. */
class event_loop {
public:
    using clock_type = std::chrono::steady_clock;
    using timer_id = std::uint64_t;

    event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    ~event_loop();

    /**
     * @brief Starts to wait for events of a descriptor.
     * @param number Descriptor; call `forget` before it is closed.
     * @param events Mask of epoll events.
     * @param action Called with the events that occurred.
     */
    void watch(int number, std::uint32_t events, std::function<void(std::uint32_t)> action);

    /*! @brief Replaces the mask of events of a watched descriptor. */
    void change(int number, std::uint32_t events);

    /*! @brief Ends the wait for a descriptor. */
    void forget(int number);

    /**
     * @brief Calls an action once after a time.
     * @param delay Time to wait; precise to some 100 us.
     * @param action Action to call.
     * @return Name of the timer, never 0.
     */
    timer_id after(std::chrono::microseconds delay, std::function<void()> action);

    /*! @brief Removes a timer; nothing happens when it is 0 or has fired. */
    void cancel(timer_id timer);

    /*! @brief Serves events until `stop`. */
    void run();

    /*! @brief Ends `run`. */
    void stop() noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace standin
