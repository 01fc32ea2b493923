#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "../core/fwd.hpp"
#include "store_position.hpp"

namespace mangopulley {

/*! @brief Target as listed by the platform API. */
struct listed_target {
    std::string id{};
    /*! @brief Start of this incarnation in Unix milliseconds; a target may restart under the same id. */
    std::uint64_t born{};
    std::string service{};
    /*! @brief `ip:port`. */
    std::string endpoint{};
    std::string zone{};
    /*! @brief Maximum number of requests that the target processes concurrently. */
    std::uint32_t slots{1};
    /*! @brief Whether the target is draining: it takes no new requests. */
    bool draining{};
    /*! @brief Remaining warm-up time of the target, counted from when the list was read. */
    duration warm_up{};

    friend bool operator==(const listed_target&, const listed_target&) = default;
};

/*! @brief Id and start of an incarnation of a target. */
using target_incarnation = std::pair<std::string, std::uint64_t>;

[[nodiscard]] inline target_incarnation incarnation_of(const listed_target& target) {
    return {target.id, target.born};
}

/*! @brief List of all targets as of one position of the platform's store. */
struct target_list {
    store_position position{};
    /*! @brief In the order of their ids. */
    std::vector<listed_target> targets{};
    /*! @brief Entries of the platform's list that name no usable target; 0 in a list received from an instance. */
    std::size_t rejected{};
};

/*! @brief Difference between two lists of targets. */
struct target_changes {
    /*! @brief Digest of the list that the changes apply to. */
    std::uint64_t from{};
    /*! @brief Digest of the resulting list. */
    std::uint64_t to{};
    store_position position{};
    /*! @brief Targets that are new or different. */
    std::vector<listed_target> changed{};
    /*! @brief Ids of removed targets. */
    std::vector<std::string> removed{};
};

/**
 * @brief Applies changes to a list.
 * @param list List that the changes start from.
 * @param changes Changes.
 * @return Resulting list, or nothing when a digest does not match.
 */
[[nodiscard]] std::optional<target_list> apply_changes(const target_list& list, const target_changes& changes);

/**
 * @brief Returns a digest of the fields that affect routing.
 *
 * Of the remaining warm-up time, which changes with every heartbeat of a target, only whether there is any counts.
 *
 * @param list List.
 * @return 64 bits, equal for equal lists.
 */
[[nodiscard]] std::uint64_t digest_of(const target_list& list);
[[nodiscard]] std::uint64_t digest_of(const listed_target& target);

} // namespace mangopulley
