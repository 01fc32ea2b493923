#pragma once

namespace mangopulley {

class caller_service;
class entry_process;
class service_runtime;
class service_table;
struct problem;

} // namespace mangopulley
