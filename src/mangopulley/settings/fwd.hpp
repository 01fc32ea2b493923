#pragma once

namespace mangopulley {

struct settings;

} // namespace mangopulley
