#pragma once

#include <optional>
#include <string>
#include <vector>

#include "../core/incarnation_id.hpp"
#include "fwd.hpp"

namespace mangopulley {

/*! @brief What an instance knows of the others; functions are called from several threads and do no I/O. */
class incarnation_directory {
public:
    incarnation_directory() = default;
    incarnation_directory(const incarnation_directory&) = delete;
    incarnation_directory& operator=(const incarnation_directory&) = delete;
    virtual ~incarnation_directory() = default;

    /*! @brief Returns the peer endpoint of a live instance, `ip:port`, or nothing. A stale endpoint does no harm. */
    [[nodiscard]] virtual std::optional<std::string> endpoint_of(incarnation_id id) const = 0;

    /*! @brief Returns up to two witnesses for a home in order of preference, those in other zones first. */
    [[nodiscard]] virtual std::vector<incarnation_id> witnesses_for(incarnation_id home) const = 0;

    /*! @brief Tells whether an incarnation has ended; a wrong answer costs a caller an answer, never correctness. */
    [[nodiscard]] virtual bool known_dead(incarnation_id id) const = 0;
};

} // namespace mangopulley
