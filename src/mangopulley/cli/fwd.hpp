#pragma once

namespace mangopulley {

enum class exit_code : int;
struct catalogue_environment;
struct entry_version;
class command_line;

} // namespace mangopulley
