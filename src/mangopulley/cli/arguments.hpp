#pragma once

#include <iosfwd>
#include <optional>
#include <span>
#include <string>

#include <tclap/CmdLine.h>

namespace mangopulley {

/**
 * @brief Parses the arguments of a command without ending the process.
 * @param line Command line with its options added; its exception handling is switched off here.
 * @param arguments Arguments, the command's name first.
 * @param out Receives the text of `--help` and `--version`.
 * @param err Receives what is wrong with the arguments.
 * @return The exit code when the command is finished already, otherwise nothing.
 */
[[nodiscard]] std::optional<int> parse_arguments(TCLAP::CmdLine& line, std::span<const std::string> arguments,
                                                 std::ostream& out, std::ostream& err);

} // namespace mangopulley
