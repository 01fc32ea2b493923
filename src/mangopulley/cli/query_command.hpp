#pragma once

#include <iosfwd>
#include <span>
#include <string>

namespace mangopulley {

/*! @brief `mangopulley state`: prints the state dump of a running process. */
[[nodiscard]] int run_state_command(std::span<const std::string> arguments, std::ostream& out, std::ostream& err);

/*! @brief `mangopulley addresses`: prints what a caller of a service is told. */
[[nodiscard]] int run_addresses_command(std::span<const std::string> arguments, std::ostream& out, std::ostream& err);

} // namespace mangopulley
