#pragma once

#include <iosfwd>
#include <span>
#include <string>

namespace mangopulley {

/*! @brief `mangopulley entry`: runs an entry instance until SIGTERM or SIGINT. */
[[nodiscard]] int run_entry_command(std::span<const std::string> arguments, std::ostream& out, std::ostream& err);

} // namespace mangopulley
