#pragma once

#include <functional>
#include <memory>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "../core/fwd.hpp"

namespace mangopulley {

/*! @brief Sections of a process's state, collected when an operator asks for them. */
class state_dump {
public:
    using source = std::function<nlohmann::json()>;

    state_dump();
    state_dump(const state_dump&) = delete;
    state_dump& operator=(const state_dump&) = delete;
    ~state_dump();

    /**
     * @brief Adds a section; only before the process serves operators.
     * @param section Name of the section.
     * @param collect Returns its content; called without a lock held, from any thread.
     */
    void add(std::string section, source collect);

    /*! @brief Collects all sections into one JSON text. */
    [[nodiscard]] std::string text() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
