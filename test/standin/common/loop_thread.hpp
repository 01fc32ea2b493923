#pragma once

#include <thread>

#include "event_loop.hpp"

namespace standin {

/*! @brief Runs an event loop in a thread of its own until destruction. */
class loop_thread {
public:
    explicit loop_thread(event_loop& served) : loop{served}, thread{[&served] { served.run(); }} {}
    loop_thread(const loop_thread&) = delete;
    loop_thread& operator=(const loop_thread&) = delete;
    ~loop_thread() {
        this->loop.stop();
        this->thread.join();
    }

private:
    event_loop& loop;
    std::thread thread;
};

} // namespace standin
