#pragma once

namespace mangopulley {

class event_log;
class metrics;
class state_dump;

} // namespace mangopulley
