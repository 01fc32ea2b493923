#pragma once

#include <optional>

#include "../core/clock.hpp"

namespace mangopulley::internal {

/*! @brief Whether a call is under way. One whose completion failed, and so told nothing, is taken for lost after a
 * while; it would block all further calls otherwise. */
class open_call {
public:
    /*! @brief Begins a call, which is taken for lost after the given time. */
    void begin(const time_point now, const duration longest) noexcept { this->lost_at = now + longest; }
    /*! @brief Ends the call; called first in its completion. */
    void end() noexcept { this->lost_at.reset(); }
    /*! @brief Returns whether a call is under way and not lost. */
    [[nodiscard]] bool under_way(const time_point now) const noexcept { return this->lost_at && now < *this->lost_at; }

private:
    std::optional<time_point> lost_at{};
};

} // namespace mangopulley::internal
