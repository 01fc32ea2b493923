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
    std::condition_variable_any task_added{};
    std::deque<std::function<void()>> queue{};
    std::size_t max_queued{};
    std::vector<std::jthread> threads{};

    void run_tasks(const std::stop_token& stop) {
        while (true) {
            std::unique_lock lock{this->guard};
            this->task_added.wait(lock, stop, [this] { return !this->queue.empty(); });
            if (stop.stop_requested()) {
                return;
            }
            const auto task = std::move(this->queue.front());
            this->queue.pop_front();
            lock.unlock();
            task();
        }
    }
};

pool_runner::pool_runner(const std::size_t threads, const std::size_t max_queued)
    : self{std::make_unique<implementation>()} {
    this->self->max_queued = max_queued;
    for (std::size_t index = 0U; index < threads; ++index) {
        this->self->threads.emplace_back([this](const std::stop_token& stop) { this->self->run_tasks(stop); });
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
        if (this->self->queue.size() >= this->self->max_queued) {
            return;
        }
        this->self->queue.push_back(std::move(task));
    }
    this->self->task_added.notify_one();
}

} // namespace mangopulley
