#pragma once

#include <chrono>
#include <thread>

namespace standin {

/**
 * @brief Polls a condition until it holds.
 * @param condition Called again and again.
 * @param limit Longest time to wait.
 * @param step Time between two calls.
 * @return Whether the condition held in time.
 */
template <typename Condition>
[[nodiscard]] bool wait_until(Condition&& condition, const std::chrono::milliseconds limit,
                              const std::chrono::milliseconds step = std::chrono::milliseconds{2}) {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(step);
    }
    return true;
}

} // namespace standin
