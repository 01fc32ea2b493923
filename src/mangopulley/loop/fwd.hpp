#pragma once

#include <cstdint>

namespace mangopulley {

class event_loop;
class datagram_port;
class stream;
class stream_listener;

/*! @brief Name of a pending timer; 0 names none. */
using timer_id = std::uint64_t;

} // namespace mangopulley
