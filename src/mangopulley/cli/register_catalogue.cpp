#include "catalogue_command.hpp"
#include "command.hpp"

namespace mangopulley::internal {

// Registered commands get their own name as first argument; the catalogue commands take the arguments after it.
const bool catalogue_registered = registry<command>::instance().add(
    "catalogue", [](const std::span<const std::string> arguments, std::ostream& out, std::ostream& err) {
        return run_catalogue_command(arguments.subspan(1U), out, err);
    });

} // namespace mangopulley::internal
