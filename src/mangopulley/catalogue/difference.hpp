#pragma once

#include <string>
#include <variant>
#include <vector>

#include "document.hpp"

namespace mangopulley {

/*! @brief A service that only the later document has. */
struct service_added {
    std::string service{};

    friend bool operator==(const service_added&, const service_added&) = default;
};

/*! @brief A service that only the earlier document has. */
struct service_removed {
    std::string service{};

    friend bool operator==(const service_removed&, const service_removed&) = default;
};

/*! @brief A field of a service that both documents have; a kind that one of them lacks has the value `nothing` there.
 */
struct field_changed {
    std::string service{};
    /*! @brief Path within the service, such as `limits.concurrent` or `kinds.release.worth`. */
    std::string field{};
    std::string from{};
    std::string to{};

    friend bool operator==(const field_changed&, const field_changed&) = default;
};

/*! @brief One change between two documents. */
using document_change = std::variant<service_added, service_removed, field_changed>;

/**
 * @brief Compares two documents; the order of services and kinds and the versions do not count.
 * @param from Earlier document.
 * @param to Later document.
 * @return The changes: those of common services in the order of `to`, additions among them, then removals.
 */
[[nodiscard]] std::vector<document_change> difference(const document& from, const document& to);

/*! @brief Returns a change as one line of text without line end. */
[[nodiscard]] std::string to_text(const document_change& change);

} // namespace mangopulley
