#pragma once

#include <memory>
#include <string>

#include "../core/fwd.hpp"
#include "document.hpp"

namespace mangopulley {

/*! @brief Thread-safe holder of the active catalogue of this process, whose version never decreases. */
class document_holder {
public:
    document_holder();
    document_holder(const document_holder&) = delete;
    document_holder& operator=(const document_holder&) = delete;
    ~document_holder();

    /*! @brief Returns the active catalogue; version 0 without services until the first one is set. */
    [[nodiscard]] std::shared_ptr<const document> current() const;

    /*! @brief Returns the source text of the active catalogue, which is sent to peers with a lower version. */
    [[nodiscard]] std::string text() const;

    /**
     * @brief Replaces the active catalogue if the new version is higher.
     * @param next Parsed catalogue.
     * @param text Text that `next` was parsed from.
     * @return Whether `next` is now active; false for the same or a lower version.
     */
    bool advance(std::shared_ptr<const document> next, std::string text);

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
