#pragma once

#include <optional>
#include <string>
#include <vector>

#include "../core/incarnation_id.hpp"
#include "fwd.hpp"

namespace mangopulley {

/*! @brief Local view of the other instances; the functions are thread-safe and do no I/O. */
class incarnation_directory {
public:
    incarnation_directory() = default;
    incarnation_directory(const incarnation_directory&) = delete;
    incarnation_directory& operator=(const incarnation_directory&) = delete;
    virtual ~incarnation_directory() = default;

    /*! @brief Returns the peer endpoint `ip:port` of a live instance, or nothing. A stale endpoint is harmless. */
    [[nodiscard]] virtual std::optional<std::string> endpoint_of(incarnation_id id) const = 0;

    /*! @brief Returns up to two witnesses for a home in order of preference, instances in other zones first. */
    [[nodiscard]] virtual std::vector<incarnation_id> witnesses_for(incarnation_id home) const = 0;

    /*! @brief Returns whether an incarnation has ended; a wrong result may cost a caller its response, but never breaks
     * at-most-once execution. */
    [[nodiscard]] virtual bool known_dead(incarnation_id id) const = 0;
};

} // namespace mangopulley
