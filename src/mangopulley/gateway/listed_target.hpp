#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "../core/fwd.hpp"

namespace mangopulley {

/*! @brief Target as the platform lists it. */
struct listed_target {
    std::string id{};
    /*! @brief Start of this incarnation in Unix milliseconds; a target may start again under its id. */
    std::uint64_t born{};
    std::string service{};
    /*! @brief `ip:port`. */
    std::string endpoint{};
    std::string zone{};
    /*! @brief Requests that the target works on at once. */
    std::uint32_t slots{1};
    /*! @brief Whether the target takes no new work. */
    bool leaving{};
    /*! @brief How much longer the target is slow after its start, counted from when the list was read. */
    duration warm_up{};

    friend bool operator==(const listed_target&, const listed_target&) = default;
};

/*! @brief List of all targets as of one revision of the platform's store. */
struct target_list {
    std::uint64_t revision{};
    /*! @brief In the order of their ids. */
    std::vector<listed_target> targets{};
};

/*! @brief What turns one list of targets into another one. */
struct target_changes {
    /*! @brief Digest of the list before. */
    std::uint64_t from{};
    /*! @brief Digest of the list after. */
    std::uint64_t to{};
    std::uint64_t revision{};
    /*! @brief Targets that are new or different. */
    std::vector<listed_target> changed{};
    /*! @brief Ids of targets that are gone. */
    std::vector<std::string> removed{};
};

/**
 * @brief Applies changes to a list.
 * @param list List that the changes start from.
 * @param changes Changes.
 * @return The list after, or nothing when the digests show that the changes do not belong to the list.
 */
[[nodiscard]] std::optional<target_list> apply_changes(const target_list& list, const target_changes& changes);

/**
 * @brief Returns a digest of what decides where requests go.
 *
 * The time left to warm up is left out: it changes with every heartbeat of a target.
 *
 * @param list List.
 * @return 64 bits, equal for equal lists.
 */
[[nodiscard]] std::uint64_t digest_of(const target_list& list);
[[nodiscard]] std::uint64_t digest_of(const listed_target& target);

} // namespace mangopulley
