#pragma once

#include "fwd.hpp"

namespace mangopulley {

/*! @brief Whether the platform's store is out, as this instance last saw it. */
class store_status {
public:
    store_status() = default;
    store_status(const store_status&) = delete;
    store_status& operator=(const store_status&) = delete;
    virtual ~store_status() = default;

    /*! @brief Tells whether the store is out; makes no call to it. */
    [[nodiscard]] virtual bool out() const = 0;
};

} // namespace mangopulley
