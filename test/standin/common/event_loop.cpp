#include "event_loop.hpp"

#include <array>
#include <cerrno>
#include <map>
#include <system_error>
#include <unordered_map>
#include <utility>

#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "descriptor.hpp"

namespace standin {

namespace {

constexpr std::size_t events_per_wait = 128U;
constexpr std::uint64_t stop_tag = ~std::uint64_t{0U};
constexpr std::uint64_t timer_tag = stop_tag - 1U;

[[nodiscard]] descriptor checked(const int number, const char* what) {
    if (number < 0) {
        throw std::system_error{errno, std::generic_category(), what};
    }
    return descriptor{number};
}

} // namespace

struct event_loop::implementation {
    struct entry {
        std::uint32_t generation{};
        std::shared_ptr<std::function<void(std::uint32_t)>> action{};
    };
    struct timer {
        timer_id id;
        std::function<void()> action;
    };
    using timer_map = std::multimap<clock_type::time_point, timer>;

    descriptor poller{checked(::epoll_create1(EPOLL_CLOEXEC), "epoll_create1")};
    descriptor alarm{checked(::timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC), "timerfd_create")};
    descriptor wake{checked(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC), "eventfd")};
    std::unordered_map<int, entry> entries{};
    timer_map timers{};
    std::unordered_map<timer_id, timer_map::iterator> timer_positions{};
    clock_type::time_point armed{};
    timer_id last_timer{};
    std::uint32_t last_generation{};

    void control(const int operation, const int number, const std::uint32_t events, const std::uint64_t tag) const {
        epoll_event event{};
        event.events = events;
        event.data.u64 = tag;
        if (::epoll_ctl(this->poller.get(), operation, number, &event) != 0) {
            throw std::system_error{errno, std::generic_category(), "epoll_ctl"};
        }
    }

    // The generation tells a descriptor from a closed one whose number was reused while events were being served.
    [[nodiscard]] static std::uint64_t tag(const int number, const std::uint32_t generation) noexcept {
        return (std::uint64_t{generation} << 32U) | static_cast<std::uint32_t>(number);
    }

    void arm() {
        if (this->timers.empty()) {
            return;
        }
        const auto next = this->timers.begin()->first;
        if (next == this->armed) {
            return;
        }
        this->armed = next;
        const auto since_start = std::chrono::duration_cast<std::chrono::nanoseconds>(next.time_since_epoch()).count();
        itimerspec setting{};
        setting.it_value.tv_sec = since_start / 1'000'000'000;
        setting.it_value.tv_nsec = since_start % 1'000'000'000;
        ::timerfd_settime(this->alarm.get(), TFD_TIMER_ABSTIME, &setting, nullptr);
    }

    void fire() {
        std::uint64_t count{};
        static_cast<void>(!::read(this->alarm.get(), &count, sizeof(count)));
        this->armed = {};
        const auto now = clock_type::now();
        while (!this->timers.empty() && this->timers.begin()->first <= now) {
            const auto first = this->timers.begin();
            auto action = std::move(first->second.action);
            this->timer_positions.erase(first->second.id);
            this->timers.erase(first);
            action();
        }
    }

    void serve(const std::uint64_t event_tag, const std::uint32_t events) {
        const auto position = this->entries.find(static_cast<int>(event_tag & 0xffffffffU));
        if (position != this->entries.end() && position->second.generation == event_tag >> 32U) {
            const auto action = position->second.action;
            (*action)(events);
        }
    }
};

event_loop::event_loop() : self{std::make_unique<implementation>()} {
    this->self->control(EPOLL_CTL_ADD, this->self->alarm.get(), EPOLLIN, timer_tag);
    this->self->control(EPOLL_CTL_ADD, this->self->wake.get(), EPOLLIN, stop_tag);
}

event_loop::~event_loop() = default;

void event_loop::watch(const int number, const std::uint32_t events, std::function<void(std::uint32_t)> action) {
    const auto generation = ++this->self->last_generation;
    this->self->control(EPOLL_CTL_ADD, number, events, implementation::tag(number, generation));
    this->self->entries[number] = {generation, std::make_shared<std::function<void(std::uint32_t)>>(std::move(action))};
}

void event_loop::change(const int number, const std::uint32_t events) {
    this->self->control(EPOLL_CTL_MOD, number, events,
                        implementation::tag(number, this->self->entries.at(number).generation));
}

void event_loop::forget(const int number) {
    if (this->self->entries.erase(number) != 0U) {
        this->self->control(EPOLL_CTL_DEL, number, 0U, 0U);
    }
}

event_loop::timer_id event_loop::after(const std::chrono::microseconds delay, std::function<void()> action) {
    const auto id = ++this->self->last_timer;
    this->self->timer_positions[id] =
        this->self->timers.emplace(clock_type::now() + delay, implementation::timer{id, std::move(action)});
    return id;
}

void event_loop::cancel(const timer_id timer) {
    const auto position = this->self->timer_positions.find(timer);
    if (position != this->self->timer_positions.end()) {
        this->self->timers.erase(position->second);
        this->self->timer_positions.erase(position);
    }
}

void event_loop::run() {
    std::array<epoll_event, events_per_wait> events{};
    for (;;) {
        this->self->arm();
        const int count = ::epoll_wait(this->self->poller.get(), events.data(), static_cast<int>(events.size()), -1);
        if (count < 0 && errno != EINTR) {
            throw std::system_error{errno, std::generic_category(), "epoll_wait"};
        }
        for (int index = 0; index < count; ++index) {
            const auto& event = events.at(static_cast<std::size_t>(index));
            if (event.data.u64 == stop_tag) {
                return;
            }
            if (event.data.u64 == timer_tag) {
                this->self->fire();
            } else {
                this->self->serve(event.data.u64, event.events);
            }
        }
    }
}

void event_loop::stop() noexcept {
    const std::uint64_t one = 1U;
    static_cast<void>(!::write(this->self->wake.get(), &one, sizeof(one)));
}

} // namespace standin
