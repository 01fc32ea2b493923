#include "catalogue_command.hpp"
#include "command.hpp"

namespace mangopulley::internal {

const bool catalogue_registered = registry<command>::instance().add(
    "catalogue", [](const std::span<const std::string> arguments, std::ostream& out, std::ostream& err) {
        return run_catalogue_command(arguments, out, err);
    });

} // namespace mangopulley::internal
