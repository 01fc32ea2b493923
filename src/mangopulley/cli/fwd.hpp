#pragma once

namespace mangopulley {

enum class exit_code : int;

} // namespace mangopulley
