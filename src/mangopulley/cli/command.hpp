#pragma once

#include <functional>
#include <iosfwd>
#include <span>
#include <string>

#include "../core/registry.hpp"
#include "exit_code.hpp"
#include "fwd.hpp"

namespace mangopulley {

/**
 * @brief Command of the program. Commands register themselves in `registry<command>` under their name.
 *
 * The arguments are those after the command's name. Results go to the first stream, diagnostics to the second; the
 * return value is an `exit_code`.
 */
using command = std::function<int(std::span<const std::string> arguments, std::ostream& out, std::ostream& err)>;

/**
 * @brief Runs the command named by the first argument.
 * @param arguments Arguments of the program without its name.
 * @param out Receives results.
 * @param err Receives diagnostics.
 * @return Exit code of the process.
 */
[[nodiscard]] int run_command(std::span<const std::string> arguments, std::ostream& out, std::ostream& err);

} // namespace mangopulley
