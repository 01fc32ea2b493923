#include "periodic_task.hpp"

#include <condition_variable>
#include <mutex>
#include <stop_token>
#include <thread>
#include <utility>

namespace mangopulley {

struct periodic_task::implementation {
    std::string name{};
    milliseconds period{};
    std::function<void()> action{};
    std::mutex guard{};
    std::condition_variable_any wake{};
    std::jthread thread{};

    void loop(const std::stop_token& stop) {
        while (!stop.stop_requested()) {
            const auto next = std::chrono::steady_clock::now() + this->period;
            this->action();
            std::unique_lock lock{this->guard};
            this->wake.wait_until(lock, stop, next, [] { return false; });
        }
    }
};

periodic_task::periodic_task(std::string name, const milliseconds period, std::function<void()> action)
    : self{std::make_unique<implementation>()} {
    this->self->name = std::move(name);
    this->self->period = period;
    this->self->action = std::move(action);
}

periodic_task::~periodic_task() {
    this->stop();
}

std::string_view periodic_task::name() const noexcept {
    return this->self->name;
}

void periodic_task::start() {
    this->self->thread = std::jthread{[this](const std::stop_token& stop) { this->self->loop(stop); }};
}

void periodic_task::stop() noexcept {
    if (this->self->thread.joinable()) {
        this->self->thread.request_stop();
        this->self->thread.join();
    }
}

} // namespace mangopulley
