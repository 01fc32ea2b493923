#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "../core/incarnation_id.hpp"
#include "fwd.hpp"
#include "member.hpp"

namespace mangopulley {

/*! @brief Watchers of the store in each zone; two, so that one can fail without delay to edits. */
inline constexpr std::size_t watchers_per_zone = 2U;

/*! @brief Says which instances do what, by rendezvous hashing over the members that this instance holds to be live. */
class address_book {
public:
    /*! @brief Reads a table that must outlive the book. */
    explicit address_book(const member_table& members) noexcept : table{members} {}

    /**
     * @brief Returns the instances a caller should use for a service.
     * @param service Service name.
     * @param count Largest number of addresses.
     * @return Live, serving and not leaving members: the lead, then members of other zones, then the rest by rank.
     */
    [[nodiscard]] std::vector<member> addresses_of(std::string_view service, std::size_t count) const;

    /*! @brief Returns the first of `addresses_of`. */
    [[nodiscard]] std::optional<incarnation_id> lead_of(std::string_view service) const;

    /*! @brief Returns up to two members other than `home`, of other zones and not suspect where possible. */
    [[nodiscard]] std::vector<incarnation_id> witnesses_for(incarnation_id home) const;

    /*! @brief Returns the endpoint for messages to an incarnation while it is known. */
    [[nodiscard]] std::optional<std::string> endpoint_of(incarnation_id incarnation) const;

    /*! @brief Tells whether this instance is one of the store's watchers of its zone. */
    [[nodiscard]] bool is_watcher() const;

private:
    const member_table& table;
};

} // namespace mangopulley
