#pragma once

#include <functional>
#include <iosfwd>
#include <memory>
#include <span>
#include <string>

#include "../core/fwd.hpp"
#include "../store/fwd.hpp"
#include "fwd.hpp"

namespace mangopulley {

/*! @brief What the catalogue commands need from outside, so that tests can replace it. */
struct catalogue_environment {
    /*! @brief Makes a client of the store at `ip:port`. */
    std::function<std::shared_ptr<store_client>(const std::string& address)> connect{};
    const clock& time;
    /*! @brief Waits between two attempts of an edit; empty means to sleep. */
    std::function<void(milliseconds)> pause{};
    /*! @brief How long `apply --entry` waits until the version is in force. */
    milliseconds entry_limit{};
};

/**
 * @brief Runs `mangopulley catalogue get|check|apply|history`.
 * @param arguments Arguments after `catalogue`.
 * @param out Receives results.
 * @param err Receives diagnostics.
 * @return An `exit_code` as number.
 */
[[nodiscard]] int run_catalogue_command(std::span<const std::string> arguments, std::ostream& out, std::ostream& err);

/*! @brief As above, with everything from outside given. */
[[nodiscard]] int run_catalogue_command(std::span<const std::string> arguments, std::ostream& out, std::ostream& err,
                                        const catalogue_environment& environment);

} // namespace mangopulley
