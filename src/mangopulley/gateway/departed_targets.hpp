#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "../core/fwd.hpp"
#include "listed_target.hpp"

namespace mangopulley {

/**
 * @brief Remembers which targets drained or were removed, for the time after a restore of the platform's store.
 *
 * A store restored from a copy lists targets as they were when the copy was made. The entry of a target that has left
 * since expires a few seconds after the restore, because nobody renews it; until then the target is not used.
 */
class departed_targets {
public:
    /**
     * @brief Remembers the targets that a new list shows as draining or no longer contains.
     * @param previous List before.
     * @param next New list.
     * @param now Current time.
     */
    void record(const target_list& previous, const target_list& next, time_point now);
    /*! @brief Begins to exclude the targets that left until now. */
    void begin_exclusion(time_point now) noexcept;
    /*! @brief Returns whether this incarnation of a target left before the restore and may be listed by mistake. */
    [[nodiscard]] bool excludes(const listed_target& target) const;
    /*! @brief Ends the exclusion when stale entries have expired; returns whether it ended with this call. */
    [[nodiscard]] bool end_exclusion(time_point now) noexcept;

private:
    /*! @brief Id and start of an incarnation. */
    using incarnation = std::pair<std::string, std::uint64_t>;

    std::map<incarnation, time_point> departures{};
    time_point excluded_since{};
    bool excluding{};
};

} // namespace mangopulley
