#pragma once

#include <memory>
#include <string>

#include "../core/fwd.hpp"
#include "document.hpp"

namespace mangopulley {

/*! @brief The catalogue in force in this process; moves only to higher versions. */
class document_holder {
public:
    document_holder();
    document_holder(const document_holder&) = delete;
    document_holder& operator=(const document_holder&) = delete;
    ~document_holder();

    /*! @brief Returns the catalogue in force; version 0 without services before the first one arrives. */
    [[nodiscard]] std::shared_ptr<const document> current() const;

    /*! @brief Returns the text of the catalogue in force, for peers that are behind. */
    [[nodiscard]] std::string text() const;

    /**
     * @brief Puts a catalogue in force when its version is higher than the present one.
     * @param next Parsed catalogue.
     * @param text Text that `next` was parsed from.
     * @return Whether it is now in force; false for the same or a lower version.
     */
    bool advance(std::shared_ptr<const document> next, std::string text);

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
