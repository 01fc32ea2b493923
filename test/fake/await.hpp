#pragma once

#include <chrono>
#include <functional>
#include <utility>

#include <mangopulley/loop/event_loop.hpp>

// TestHarness.h would define `new` as a macro, which breaks headers of Boost that a test includes after this one.
#include <CppUTest/Utest.h>
#include <CppUTest/UtestMacros.h>

namespace fake {

/*! @brief Runs a loop until a condition holds; fails the test after 10 s. */
class awaiter {
public:
    /**
     * @brief Constructs the helper; nothing runs before the first call.
     * @param turned Loop, which must outlive this object.
     * @param between Called after each turn of the loop; may be empty.
     */
    explicit awaiter(mangopulley::event_loop& turned, std::function<void()> between = {})
        : loop{turned}, after_turn{std::move(between)} {}

    template <typename Condition>
    void operator()(Condition condition) const {
        const auto deadline = this->loop.now() + std::chrono::seconds{10};
        while (!condition() && this->loop.now() < deadline) {
            this->loop.turn(std::chrono::milliseconds{5});
            if (this->after_turn) {
                this->after_turn();
            }
        }
        CHECK_TRUE(condition());
    }

private:
    mangopulley::event_loop& loop;
    std::function<void()> after_turn;
};

} // namespace fake
