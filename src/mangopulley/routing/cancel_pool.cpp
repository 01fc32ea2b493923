#include "cancel_pool.hpp"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

namespace mangopulley {

struct cancel_pool::implementation {
    struct job {
        std::unique_ptr<exchange> open_exchange{};
        slot target_slot{};
        attempt_report report{};

        void release() {
            this->open_exchange.reset();
            this->target_slot.finish(this->report);
        }
    };

    std::size_t thread_count;
    std::size_t max_queued;
    std::mutex guard{};
    std::condition_variable state_changed{};
    std::deque<job> jobs{};
    bool running{};
    std::vector<std::jthread> threads{};

    implementation(const std::size_t workers, const std::size_t queue_capacity) noexcept
        : thread_count{workers}, max_queued{queue_capacity} {}

    [[nodiscard]] std::optional<job> next() {
        std::unique_lock lock{this->guard};
        this->state_changed.wait(lock, [this] { return !this->running || !this->jobs.empty(); });
        if (!this->running) {
            return std::nullopt;
        }
        std::optional<job> first{std::move(this->jobs.front())};
        this->jobs.pop_front();
        return first;
    }

    void work() {
        while (auto item = this->next()) {
            item->open_exchange->cancel();
            item->release();
        }
    }
};

cancel_pool::cancel_pool(const std::size_t threads, const std::size_t queue_capacity)
    : self{std::make_unique<implementation>(threads, queue_capacity)} {}

cancel_pool::~cancel_pool() {
    this->stop();
}

std::string_view cancel_pool::name() const noexcept {
    return "cancel_pool";
}

void cancel_pool::start() {
    const std::lock_guard lock{this->self->guard};
    this->self->running = true;
    for (std::size_t number = 0U; number < this->self->thread_count; ++number) {
        this->self->threads.emplace_back([state = this->self.get()] { state->work(); });
    }
}

void cancel_pool::stop() noexcept {
    std::deque<implementation::job> remaining{};
    {
        const std::lock_guard lock{this->self->guard};
        this->self->running = false;
        remaining.swap(this->self->jobs);
    }
    this->self->state_changed.notify_all();
    this->self->threads.clear();
    for (auto& item : remaining) {
        item.release();
    }
}

void cancel_pool::submit(std::unique_ptr<exchange> open_exchange, slot target_slot, const attempt_report& report) {
    // Waiting for a free thread must not count toward the response time of the target.
    target_slot.record_outcome(report);
    implementation::job item{std::move(open_exchange), std::move(target_slot), report};
    {
        const std::lock_guard lock{this->self->guard};
        if (this->self->running && this->self->jobs.size() < this->self->max_queued) {
            this->self->jobs.push_back(std::move(item));
            this->self->state_changed.notify_one();
            return;
        }
    }
    item.release();
}

} // namespace mangopulley
