#pragma once

#include <chrono>

#include "fwd.hpp"

namespace mangopulley {

/*! @brief Source of time, so that tests can drive every time-dependent decision. */
class clock {
public:
    clock() = default;
    clock(const clock&) = delete;
    clock& operator=(const clock&) = delete;
    virtual ~clock() = default;

    /*! @brief Returns the monotonic time. */
    [[nodiscard]] virtual time_point now() const noexcept = 0;

    /*! @brief Returns the wall-clock time; used only for deadlines sent to targets and for display. */
    [[nodiscard]] virtual std::chrono::system_clock::time_point wall() const noexcept = 0;
};

/*! @brief The clocks of the operating system. */
class system_clock_source final : public clock {
public:
    [[nodiscard]] time_point now() const noexcept override;
    [[nodiscard]] std::chrono::system_clock::time_point wall() const noexcept override;
};

} // namespace mangopulley
