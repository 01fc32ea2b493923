#include "event_loop.hpp"

#include <algorithm>
#include <atomic>
#include <map>
#include <unordered_map>
#include <utility>

#include <Poco/Net/PollSet.h>

namespace mangopulley {

namespace internal {

namespace {

// Bounds how late the loop sees `stop` and signals that only set a flag.
constexpr milliseconds longest_poll{50};
constexpr duration poll_resolution{std::chrono::milliseconds{1}};
// Smooths the lag over about as many turns.
constexpr int lag_divisor = 16;

struct loop_timer {
    timer_id id;
    duration period;
    event_loop::callback action;
};

} // namespace

} // namespace internal

struct event_loop::implementation {
    const clock& time;
    Poco::Net::PollSet sockets{};
    std::unordered_map<int, std::shared_ptr<ready_callback>> watched{};
    std::multimap<time_point, internal::loop_timer> timers{};
    std::unordered_map<timer_id, std::multimap<time_point, internal::loop_timer>::iterator> by_id{};
    timer_id last{};
    timer_id running{};
    bool running_cancelled{};
    std::atomic<bool> stopping{};
    time_point polled_before{};
    time_point polled{};
    duration smoothed_lag{};

    explicit implementation(const clock& source)
        : time{source}, polled_before{source.now()}, polled{this->polled_before} {}

    void schedule(const time_point due, internal::loop_timer timer) {
        const auto id = timer.id;
        this->by_id[id] = this->timers.emplace(due, std::move(timer));
    }

    void fire(const time_point now) {
        if (!this->timers.empty()) {
            const auto late = std::max<duration>(now - this->timers.begin()->first, duration::zero());
            this->smoothed_lag += (late - this->smoothed_lag) / internal::lag_divisor;
        }
        while (!this->timers.empty() && this->timers.begin()->first <= now) {
            const auto timer = std::move(this->timers.extract(this->timers.begin()).mapped());
            this->by_id.erase(timer.id);
            this->running = timer.id;
            this->running_cancelled = false;
            timer.action();
            if (timer.period > duration::zero() && !this->running_cancelled) {
                this->schedule(now + timer.period, timer);
            }
            this->running = 0U;
        }
    }

    [[nodiscard]] duration wait_time(const time_point now, const duration longest) const {
        if (this->timers.empty()) {
            return longest;
        }
        return std::clamp<duration>(this->timers.begin()->first - now, duration::zero(), longest);
    }

    void poll(const duration wait) {
        // The poll counts whole milliseconds; rounding down would spin until the timer is due.
        const auto rounded = std::chrono::ceil<milliseconds>(wait);
        this->polled_before = this->polled;
        const auto ready = this->sockets.poll(Poco::Timespan{rounded.count() * 1'000});
        this->polled = this->time.now();
        for (const auto& [socket, modes] : ready) {
            const auto position = this->watched.find(socket.impl()->sockfd());
            if (position != this->watched.end()) {
                const auto action = position->second;
                (*action)(modes);
            }
        }
    }
};

event_loop::event_loop(const clock& time) : self{std::make_unique<implementation>(time)} {}

event_loop::~event_loop() = default;

time_point event_loop::now() const noexcept {
    return this->self->time.now();
}

time_point event_loop::earliest_arrival() const noexcept {
    return this->self->polled_before;
}

time_point event_loop::turn_began() const noexcept {
    return this->self->polled;
}

duration event_loop::lag() const noexcept {
    return this->self->smoothed_lag;
}

timer_id event_loop::after(const duration delay, callback action) {
    const auto id = ++this->self->last;
    this->self->schedule(this->now() + delay, {id, duration::zero(), std::move(action)});
    return id;
}

timer_id event_loop::every(const duration period, callback action) {
    const auto id = ++this->self->last;
    this->self->schedule(this->now() + period, {id, std::max(period, internal::poll_resolution), std::move(action)});
    return id;
}

void event_loop::cancel(const timer_id timer) noexcept {
    if (timer != 0U && timer == this->self->running) {
        this->self->running_cancelled = true;
    }
    const auto position = this->self->by_id.find(timer);
    if (position != this->self->by_id.end()) {
        this->self->timers.erase(position->second);
        this->self->by_id.erase(position);
    }
}

void event_loop::watch(const Poco::Net::Socket& socket, const int modes, ready_callback action) {
    this->self->watched[socket.impl()->sockfd()] = std::make_shared<ready_callback>(std::move(action));
    this->self->sockets.add(socket, modes);
}

void event_loop::change(const Poco::Net::Socket& socket, const int modes) {
    this->self->sockets.update(socket, modes);
}

void event_loop::forget(const Poco::Net::Socket& socket) noexcept {
    if (this->self->watched.erase(socket.impl()->sockfd()) > 0U) {
        this->self->sockets.remove(socket);
    }
}

void event_loop::run() {
    while (!this->self->stopping.load()) {
        this->turn(internal::longest_poll);
    }
}

void event_loop::turn(const duration longest_wait) {
    this->self->poll(this->self->wait_time(this->now(), longest_wait));
    this->self->fire(this->now());
}

void event_loop::stop() noexcept {
    this->self->stopping = true;
}

} // namespace mangopulley
