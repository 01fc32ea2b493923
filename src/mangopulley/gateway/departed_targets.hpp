#pragma once

#include <cstddef>
#include <set>
#include <vector>

#include "../core/fwd.hpp"
#include "listed_target.hpp"

namespace mangopulley {

/*! @brief Excluded targets as told to an instance that started after the restore. */
struct departure_report {
    std::vector<target_incarnation> targets{};
    /*! @brief Time until lists are trusted again. */
    duration remaining{};
};

/**
 * @brief Targets that a store restored from a copy lists as ready although they have left since the copy was made.
 *
 * Their entries expire because nobody renews them. Until then, what was in use before the restore decides: an entry of
 * the first list after it that names another target is excluded.
 */
class departed_targets {
public:
    /**
     * @brief Begins to exclude.
     * @param used Targets in use before the restore.
     * @param restored First list that was read after the restore.
     * @param trusted_from Time from which a list no longer has entries that nobody renews.
     */
    void begin(const target_list& used, const target_list& restored, time_point trusted_from);
    /*! @brief Begins to exclude what another instance reports. */
    void adopt(const departure_report& report, time_point now);
    [[nodiscard]] departure_report report(time_point now) const;
    /**
     * @brief Ends the exclusion if a list is new enough.
     * @param as_of When the list was read.
     * @return Whether targets were excluded until now.
     */
    [[nodiscard]] bool end(time_point as_of);
    [[nodiscard]] bool excludes(const listed_target& target) const;
    /*! @brief Returns the number of excluded targets. */
    [[nodiscard]] std::size_t size() const noexcept;

private:
    std::set<target_incarnation> excluded{};
    time_point trusted{};
};

} // namespace mangopulley
