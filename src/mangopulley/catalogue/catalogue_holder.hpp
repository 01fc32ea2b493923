#pragma once

#include <memory>
#include <string>

#include "../core/fwd.hpp"
#include "catalogue_document.hpp"

namespace mangopulley {

/*! @brief Thread-safe holder of the active catalogue of this process, whose version never decreases. */
class catalogue_holder {
public:
    catalogue_holder();
    catalogue_holder(const catalogue_holder&) = delete;
    catalogue_holder& operator=(const catalogue_holder&) = delete;
    ~catalogue_holder();

    /*! @brief Returns the active catalogue; version 0 without services until the first one is set. */
    [[nodiscard]] std::shared_ptr<const catalogue_document> current() const;

    /*! @brief Returns the source text of the active catalogue, which is sent to peers with a lower version. */
    [[nodiscard]] std::string text() const;

    /**
     * @brief Replaces the active catalogue if the new version is higher.
     * @param next Parsed catalogue.
     * @param text Text that `next` was parsed from.
     * @return Whether `next` is now active; false for the same or a lower version.
     */
    bool advance(std::shared_ptr<const catalogue_document> next, std::string text);

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
