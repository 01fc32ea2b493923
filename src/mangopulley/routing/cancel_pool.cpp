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
        std::unique_ptr<exchange> open{};
        slot right{};
        observation seen{};

        void drop() {
            this->open.reset();
            this->right.finish(this->seen);
        }
    };

    std::size_t count;
    std::size_t longest;
    std::mutex guard{};
    std::condition_variable wake{};
    std::deque<job> jobs{};
    bool running{};
    std::vector<std::jthread> threads{};

    implementation(const std::size_t workers, const std::size_t longest_queue) noexcept
        : count{workers}, longest{longest_queue} {}

    [[nodiscard]] std::optional<job> next() {
        std::unique_lock lock{this->guard};
        this->wake.wait(lock, [this] { return !this->running || !this->jobs.empty(); });
        if (!this->running) {
            return std::nullopt;
        }
        std::optional<job> taken{std::move(this->jobs.front())};
        this->jobs.pop_front();
        return taken;
    }

    void work() {
        while (auto item = this->next()) {
            item->open->cancel();
            item->drop();
        }
    }
};

cancel_pool::cancel_pool(const std::size_t threads, const std::size_t longest_queue)
    : self{std::make_unique<implementation>(threads, longest_queue)} {}

cancel_pool::~cancel_pool() {
    this->stop();
}

std::string_view cancel_pool::name() const noexcept {
    return "cancel_pool";
}

void cancel_pool::start() {
    const std::lock_guard lock{this->self->guard};
    this->self->running = true;
    for (std::size_t number = 0U; number < this->self->count; ++number) {
        this->self->threads.emplace_back([state = this->self.get()] { state->work(); });
    }
}

void cancel_pool::stop() noexcept {
    std::deque<implementation::job> left{};
    {
        const std::lock_guard lock{this->self->guard};
        this->self->running = false;
        left.swap(this->self->jobs);
    }
    this->self->wake.notify_all();
    this->self->threads.clear();
    for (auto& item : left) {
        item.drop();
    }
}

void cancel_pool::submit(std::unique_ptr<exchange> open, slot right, const observation& seen) {
    // The wait for a free thread must not count as slowness of the target.
    right.conclude(seen);
    implementation::job item{std::move(open), std::move(right), seen};
    {
        const std::lock_guard lock{this->self->guard};
        if (this->self->running && this->self->jobs.size() < this->self->longest) {
            this->self->jobs.push_back(std::move(item));
            this->self->wake.notify_one();
            return;
        }
    }
    item.drop();
}

} // namespace mangopulley
