#pragma once

#include <span>
#include <string>
#include <vector>

#include "mutator.hpp"

namespace fuzz {

/*! @brief One kind of input from outside. */
struct input_case {
    const char* name;
    /*! @brief Returns valid inputs. */
    std::vector<std::string> (*corpus)();
    /*!
     * @brief Feeds an input to the program's code.
     *
     * Returns what is wrong with its behaviour, or an empty text; the mutator decides how the bytes are cut.
     */
    std::string (*check)(const std::string& input, mutator& chance);
};

/*! @brief Returns all kinds of input. */
[[nodiscard]] std::span<const input_case> input_cases();

} // namespace fuzz
