#pragma once

#include <chrono>
#include <cstddef>
#include <deque>

namespace standin {

/*! @brief Counts calls in the last second and admits them up to a rate; a waiting watch counts as one all the time. */
class call_rate {
public:
    using time_point = std::chrono::steady_clock::time_point;

    explicit call_rate(const std::size_t calls_per_second) noexcept : limit{calls_per_second} {}

    /*! @brief Admits a call, unless the rate is used up. */
    [[nodiscard]] bool admit(const time_point now) {
        this->expire(now);
        if (this->recent.size() + this->waiting >= this->limit) {
            return false;
        }
        this->recent.push_back(now);
        return true;
    }

    /*! @brief Turns the call admitted last into a waiting watch. */
    void begin_wait() {
        this->recent.pop_back();
        ++this->waiting;
    }

    /*! @brief Ends a waiting watch; it counts for one second more. */
    void end_wait(const time_point now) {
        --this->waiting;
        this->recent.push_back(now);
    }

    [[nodiscard]] std::size_t waiting_watches() const noexcept { return this->waiting; }

private:
    void expire(const time_point now) {
        while (!this->recent.empty() && now - this->recent.front() >= std::chrono::seconds{1}) {
            this->recent.pop_front();
        }
    }

    std::size_t limit;
    std::size_t waiting{};
    std::deque<time_point> recent{};
};

} // namespace standin
