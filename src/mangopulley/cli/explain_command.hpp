#pragma once

#include <iosfwd>
#include <span>
#include <string>

namespace mangopulley {

/**
 * @brief `mangopulley explain`: prints where a request would go now, and why.
 * @param arguments Arguments after the command's name.
 * @param in Read for the API key with `--key-file -`.
 * @param out Receives the explanation.
 * @param err Receives errors.
 * @return Exit code: 3 without such a route or team, 1 if the instance is not reachable or has no configuration.
 */
[[nodiscard]] int run_explain_command(std::span<const std::string> arguments, std::istream& in, std::ostream& out,
                                      std::ostream& err);

} // namespace mangopulley
