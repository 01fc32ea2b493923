#pragma once

#include <string>
#include <vector>

#include "store_position.hpp"

namespace mangopulley {

/*! @brief Availability zones whose targets must get nothing, as of one position of the platform's store. */
struct evacuation_set {
    store_position position{};
    /*! @brief In alphabetical order, without duplicates. */
    std::vector<std::string> zones{};

    friend bool operator==(const evacuation_set&, const evacuation_set&) = default;
};

} // namespace mangopulley
