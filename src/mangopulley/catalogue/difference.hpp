#pragma once

#include <string>
#include <variant>
#include <vector>

#include "catalogue_document.hpp"

namespace mangopulley {

/*! @brief A service that exists only in the later document. */
struct service_added {
    std::string service{};

    friend bool operator==(const service_added&, const service_added&) = default;
};

/*! @brief A service that exists only in the earlier document. */
struct service_removed {
    std::string service{};

    friend bool operator==(const service_removed&, const service_removed&) = default;
};

/**
 * @brief A changed field of a service that exists in both documents.
 *
 * A kind that is missing from one of the documents has the value `nothing` there.
 */
struct field_changed {
    std::string service{};
    /*! @brief Path within the service, such as `limits.concurrent` or `kinds.release.worth`. */
    std::string field{};
    /*! @brief Value in the earlier document, as display text. */
    std::string from{};
    /*! @brief Value in the later document, as display text. */
    std::string to{};

    friend bool operator==(const field_changed&, const field_changed&) = default;
};

/*! @brief One difference between two documents. */
using catalogue_change = std::variant<service_added, service_removed, field_changed>;

/**
 * @brief Compares two documents; ignores the order of services and kinds, and the versions.
 * @param from Earlier document.
 * @param to Later document.
 * @return Changed and added services in the order of `to`, followed by removed services in the order of `from`.
 */
[[nodiscard]] std::vector<catalogue_change> difference(const catalogue_document& from, const catalogue_document& to);

/*! @brief Formats a change as one line of text without a line break. */
[[nodiscard]] std::string to_text(const catalogue_change& change);

} // namespace mangopulley
