#pragma once

#include <atomic>
#include <chrono>

#include <mangopulley/core/clock.hpp>

namespace fake {

/*! @brief Clock that moves only when the test says so; the wall clock moves with it. */
class fake_clock final : public mangopulley::clock {
public:
    [[nodiscard]] mangopulley::time_point now() const noexcept override {
        return mangopulley::time_point{} + std::chrono::hours{1} + mangopulley::duration{this->elapsed.load()};
    }

    [[nodiscard]] std::chrono::system_clock::time_point wall() const noexcept override {
        return std::chrono::system_clock::time_point{std::chrono::seconds{1'800'000'000}} +
               std::chrono::duration_cast<std::chrono::system_clock::duration>(
                   mangopulley::duration{this->elapsed.load()});
    }

    void advance(const mangopulley::duration step) noexcept { this->elapsed.fetch_add(step.count()); }

private:
    std::atomic<mangopulley::duration::rep> elapsed{};
};

} // namespace fake
