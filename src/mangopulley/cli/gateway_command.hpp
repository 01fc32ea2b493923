#pragma once

#include <iosfwd>
#include <span>
#include <string>

namespace mangopulley {

/**
 * @brief Runs a gateway instance until SIGTERM or SIGINT; SIGHUP reads the settings again.
 * @param arguments Arguments behind the command's name.
 * @param out Receives help.
 * @param err Receives diagnostics.
 * @return Exit code of the process.
 */
[[nodiscard]] int run_gateway_command(std::span<const std::string> arguments, std::ostream& out, std::ostream& err);

} // namespace mangopulley
