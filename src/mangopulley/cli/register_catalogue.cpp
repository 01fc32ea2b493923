#include "catalogue_command.hpp"
#include "command.hpp"

namespace mangopulley::internal {

const bool catalogue_registered = registry<command>::instance().add("catalogue", run_catalogue_command);

} // namespace mangopulley::internal
