#pragma once

#include "fwd.hpp"

namespace mangopulley {

/*! @brief Availability of the platform's store, as last observed by this instance. */
class store_status {
public:
    store_status() = default;
    store_status(const store_status&) = delete;
    store_status& operator=(const store_status&) = delete;
    virtual ~store_status() = default;

    /*! @brief Returns whether the store is in an outage; makes no call to it. */
    [[nodiscard]] virtual bool in_outage() const = 0;
};

} // namespace mangopulley
