#pragma once

#include <cstddef>
#include <map>
#include <utility>

#include "../core/fwd.hpp"
#include "departed_targets.hpp"
#include "listed_target.hpp"

namespace mangopulley {

/**
 * @brief Derives the targets that may be used from the list of the platform's store.
 *
 * After an outage or a restore of the store the list may lack targets that live, and after a restore it may contain
 * some that have left. Missing ones are kept for a while, departed ones are excluded.
 */
class usable_targets {
public:
    /**
     * @brief Keeps using targets that a list lacks until they have had time to register again.
     * @param listed First list after an outage or a restore.
     * @param until When they are given up.
     */
    void retain_missing(const target_list& listed, time_point until);
    /*! @brief Gives up missing targets that have not registered in time; returns their number. */
    [[nodiscard]] std::size_t expire_missing(time_point now);
    /*! @brief Begins to exclude what the first list after a restore has beyond the targets in use before. */
    void exclude_departed(const target_list& restored, time_point trusted_from);
    /*! @brief Excludes what another instance reports. */
    void exclude(const departure_report& report, time_point now);
    /*! @brief Ends the exclusion if a list read at this time is trusted; returns whether targets were excluded. */
    [[nodiscard]] bool end_exclusion(time_point as_of);
    /*! @brief Derives the targets anew from a list. */
    void update(const target_list& listed);

    /*! @brief Returns the targets as of the last `update`, draining ones included. */
    [[nodiscard]] const target_list& list() const noexcept;
    [[nodiscard]] std::size_t missing_count() const noexcept;
    [[nodiscard]] std::size_t excluded_count() const noexcept;
    /*! @brief Returns what is excluded, for instances that started after the restore. */
    [[nodiscard]] departure_report departures(time_point now) const;
    /*! @brief Returns whether this instance saw a restore or was told what had left before it. */
    [[nodiscard]] bool knows_departures() const noexcept;

private:
    struct missing_target {
        listed_target listing{};
        time_point until{};
    };

    target_list usable{};
    std::map<target_incarnation, missing_target> missing{};
    departed_targets departed{};
    bool told_departures{};
};

} // namespace mangopulley
