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
 * @brief Former lists of targets, of which digests are kept, so that other instances can be sent only what changed.
 */
class target_history {
public:
    /**
     * @brief Notes a list that others may hold from now on; the oldest one is forgotten.
     * @param digest Digest of the list.
     * @param list List.
     */
    void note(std::uint64_t digest, const target_list& list);
    /**
     * @brief Returns what turns a former list into the present one.
     * @param former Digest of the former list.
     * @param present List noted last.
     * @return Changes, or nothing when the former list is not known any more.
     */
    [[nodiscard]] std::optional<target_changes> changes_since(std::uint64_t former, const target_list& present) const;

private:
    struct version {
        std::uint64_t digest{};
        /*! @brief Ids and digests of the targets, in the order of the ids. */
        std::vector<std::pair<std::string, std::uint64_t>> targets{};
    };

    std::deque<version> versions{};
};

} // namespace mangopulley
