#pragma once

namespace mangopulley {

class probe_budget;
class prober;

} // namespace mangopulley
