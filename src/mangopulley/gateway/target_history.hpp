#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "listed_target.hpp"

namespace mangopulley {

/*!
 * @brief Digests of previous target lists, from which incremental updates for other instances are computed.
 */
class target_history {
public:
    /**
     * @brief Records a list that other instances may receive from now on, and evicts the oldest one when full.
     * @param digest Digest of the list.
     * @param list List.
     */
    void record(std::uint64_t digest, const target_list& list);
    /**
     * @brief Returns the changes from a previous list to the current one.
     * @param previous Digest of the previous list.
     * @param current List recorded last.
     * @return Changes, or nothing when the previous list is no longer recorded.
     */
    [[nodiscard]] std::optional<target_changes> changes_since(std::uint64_t previous, const target_list& current) const;

private:
    struct version {
        std::uint64_t digest{};
        /*! @brief Ids and digests of the targets, in the order of the ids. */
        std::vector<std::pair<std::string, std::uint64_t>> targets{};
    };

    std::deque<version> versions{};
};

} // namespace mangopulley
