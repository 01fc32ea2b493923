#include "event_loop.hpp"

#include <algorithm>
#include <atomic>
#include <map>
#include <new>
#include <unordered_map>
#include <utility>

#include <Poco/Net/PollSet.h>

namespace mangopulley {

namespace internal {

namespace {

// Bounds the delay until the loop observes `stop` and flags set by signal handlers.
constexpr milliseconds max_poll_wait{50};
constexpr duration timer_resolution{std::chrono::milliseconds{1}};
// The reported lag is an exponential moving average over about this many turns.
constexpr int lag_smoothing_turns = 16;

struct loop_timer {
    timer_id id;
    duration period;
    event_loop::callback callback;
};

} // namespace

} // namespace internal

struct event_loop::implementation {
    const clock& time;
    failure_listener on_failure;
    Poco::Net::PollSet sockets{};
    std::unordered_map<int, std::shared_ptr<ready_callback>> watched{};
    std::multimap<time_point, internal::loop_timer> timers{};
    std::unordered_map<timer_id, std::multimap<time_point, internal::loop_timer>::iterator> timers_by_id{};
    timer_id last_timer{};
    timer_id running_timer{};
    bool running_cancelled{};
    std::atomic<bool> stopping{};
    time_point previous_poll_end{};
    time_point poll_end{};
    duration smoothed_lag{};

    implementation(const clock& source, failure_listener listener)
        : time{source}, on_failure{std::move(listener)},
          previous_poll_end{source.now()}, poll_end{this->previous_poll_end} {}

    /*! @brief Runs a callback; one that fails must not end the process and with it all other work. */
    template <typename Action>
    void run_contained(const Action& action) const {
        if (!this->on_failure) {
            action();
            return;
        }
        try {
            action();
        } catch (const std::exception& error) {
            this->report(error);
        }
    }

    void report(const std::exception& error) const noexcept {
        try {
            this->on_failure(error);
        } catch (const std::exception&) { // NOLINT(bugprone-empty-catch)
            // Without memory, not even the report is possible.
        }
    }

    void schedule(const time_point due, internal::loop_timer timer) {
        const auto id = timer.id;
        const auto position = this->timers.emplace(due, std::move(timer));
        try {
            this->timers_by_id.emplace(id, position);
        } catch (const std::bad_alloc&) {
            // Nobody could cancel it.
            this->timers.erase(position);
            throw;
        }
    }

    void run_due_timers(const time_point now) {
        if (!this->timers.empty()) {
            const auto lateness = std::max<duration>(now - this->timers.begin()->first, duration::zero());
            this->smoothed_lag += (lateness - this->smoothed_lag) / internal::lag_smoothing_turns;
        }
        while (!this->timers.empty() && this->timers.begin()->first <= now) {
            // The nodes are kept, so that a periodic timer goes on even if no memory can be allocated.
            auto due = this->timers.extract(this->timers.begin());
            const auto& timer = due.mapped();
            auto by_id = this->timers_by_id.extract(timer.id);
            this->running_timer = timer.id;
            this->running_cancelled = false;
            this->run_contained(timer.callback);
            if (timer.period > duration::zero() && !this->running_cancelled) {
                due.key() = now + timer.period;
                by_id.mapped() = this->timers.insert(std::move(due));
                this->timers_by_id.insert(std::move(by_id));
            }
            this->running_timer = 0U;
        }
    }

    [[nodiscard]] duration wait_time(const time_point now, const duration max_wait) const {
        if (this->timers.empty()) {
            return max_wait;
        }
        return std::clamp<duration>(this->timers.begin()->first - now, duration::zero(), max_wait);
    }

    void poll(const duration wait) {
        // Poco polls in whole milliseconds; rounding down would busy-wait until the timer is due.
        const auto rounded = std::chrono::ceil<milliseconds>(wait);
        this->previous_poll_end = this->poll_end;
        const auto ready = this->sockets.poll(Poco::Timespan{rounded.count() * 1'000});
        this->poll_end = this->time.now();
        for (const auto& [socket, modes] : ready) {
            const auto position = this->watched.find(socket.impl()->sockfd());
            if (position != this->watched.end()) {
                const auto action = position->second;
                this->run_contained([&action, ready_modes = modes] { (*action)(ready_modes); });
            }
        }
    }
};

event_loop::event_loop(const clock& time, failure_listener on_failure)
    : self{std::make_unique<implementation>(time, std::move(on_failure))} {}

event_loop::~event_loop() = default;

time_point event_loop::now() const noexcept {
    return this->self->time.now();
}

time_point event_loop::earliest_arrival() const noexcept {
    return this->self->previous_poll_end;
}

time_point event_loop::turn_began() const noexcept {
    return this->self->poll_end;
}

duration event_loop::lag() const noexcept {
    return this->self->smoothed_lag;
}

timer_id event_loop::after(const duration delay, callback action) {
    const auto id = ++this->self->last_timer;
    this->self->schedule(this->now() + delay, {id, duration::zero(), std::move(action)});
    return id;
}

timer_id event_loop::every(const duration period, callback action) {
    const auto id = ++this->self->last_timer;
    this->self->schedule(this->now() + period, {id, std::max(period, internal::timer_resolution), std::move(action)});
    return id;
}

void event_loop::cancel(const timer_id timer) noexcept {
    if (timer != 0U && timer == this->self->running_timer) {
        this->self->running_cancelled = true;
    }
    const auto position = this->self->timers_by_id.find(timer);
    if (position != this->self->timers_by_id.end()) {
        this->self->timers.erase(position->second);
        this->self->timers_by_id.erase(position);
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
        this->turn(internal::max_poll_wait);
    }
}

void event_loop::turn(const duration longest_wait) {
    // Polling allocates memory; sockets whose events are lost by that are reported again.
    this->self->run_contained(
        [this, longest_wait] { this->self->poll(this->self->wait_time(this->now(), longest_wait)); });
    this->self->run_due_timers(this->now());
}

void event_loop::stop() noexcept {
    this->self->stopping = true;
}

} // namespace mangopulley
