#pragma once

#include "fwd.hpp"

namespace mangopulley {

/*! @brief Exit codes of the operators' commands (section 3.2 of the design). */
enum class exit_code : int {
    done = 0,
    failed = 1,
    usage = 2,
    /*! @brief The given settings or catalogue are not allowed. */
    rejected_input = 3,
    /*! @brief Another edit came first. */
    conflict = 4,
    /*! @brief Whether the edit took effect could not be found out. */
    outcome_unknown = 5
};

} // namespace mangopulley
