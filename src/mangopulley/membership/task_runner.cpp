#include "task_runner.hpp"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <stop_token>
#include <thread>
#include <utility>
#include <vector>

namespace mangopulley {

struct pool_runner::implementation {
    std::mutex guard{};
    std::condition_variable_any wake{};
    std::deque<std::function<void()>> waiting{};
    std::size_t most_waiting{};
    std::vector<std::jthread> threads{};

    void loop(const std::stop_token& stop) {
        while (true) {
            std::unique_lock lock{this->guard};
            this->wake.wait(lock, stop, [this] { return !this->waiting.empty(); });
            if (stop.stop_requested()) {
                return;
            }
            const auto task = std::move(this->waiting.front());
            this->waiting.pop_front();
            lock.unlock();
            task();
        }
    }
};

pool_runner::pool_runner(const std::size_t threads, const std::size_t most_waiting)
    : self{std::make_unique<implementation>()} {
    this->self->most_waiting = most_waiting;
    for (std::size_t index = 0U; index < threads; ++index) {
        this->self->threads.emplace_back([this](const std::stop_token& stop) { this->self->loop(stop); });
    }
}

pool_runner::~pool_runner() {
    for (auto& thread : this->self->threads) {
        thread.request_stop();
    }
    this->self->threads.clear();
}

void pool_runner::run(std::function<void()> task) {
    {
        const std::lock_guard lock{this->self->guard};
        if (this->self->waiting.size() >= this->self->most_waiting) {
            return;
        }
        this->self->waiting.push_back(std::move(task));
    }
    this->self->wake.notify_one();
}

} // namespace mangopulley
