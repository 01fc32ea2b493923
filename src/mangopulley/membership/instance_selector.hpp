#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "../core/incarnation_id.hpp"
#include "fwd.hpp"
#include "member.hpp"

namespace mangopulley {

/*! @brief Instances per zone that watch the store; two, so that the failure of one does not delay catalogue edits. */
inline constexpr std::size_t watchers_per_zone = 2U;

/*! @brief Assigns services and roles to instances by rendezvous hashing over the members that are live in the table. */
class instance_selector {
public:
    /*! @brief Selects from a table that must outlive the object. */
    explicit instance_selector(const member_table& members) noexcept : table{members} {}

    /**
     * @brief Returns the instances that a caller should use for a service.
     * @param service Service name.
     * @param count Largest number of instances.
     * @return Members that are not dead, serve and do not leave: first the best-ranked member of each zone, beginning
     * with the primary, then the others; both groups by descending rank.
     */
    [[nodiscard]] std::vector<member> instances_for(std::string_view service, std::size_t count) const;

    /*! @brief Returns the primary of a service, which is the first of `instances_for`; empty if there is none. */
    [[nodiscard]] std::optional<incarnation_id> primary_of(std::string_view service) const;

    /*! @brief Returns up to two members other than `home` that do not leave; prefers live to suspect ones, then other
     * zones. */
    [[nodiscard]] std::vector<incarnation_id> witnesses_for(incarnation_id home) const;

    /*! @brief Returns the peer endpoint (`ip:port`) of an incarnation; empty if the table does not contain it. */
    [[nodiscard]] std::optional<std::string> endpoint_of(incarnation_id incarnation) const;

    /*! @brief Returns whether this instance is one of those that watch the store for its zone. */
    [[nodiscard]] bool is_watcher() const;

private:
    const member_table& table;
};

} // namespace mangopulley
