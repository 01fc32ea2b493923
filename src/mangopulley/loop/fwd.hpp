#pragma once

#include <cstdint>

namespace mangopulley {

class event_loop;
class datagram_port;
class port_binding;
class stream;
class stream_listener;

/*! @brief Identifier of a timer; 0 means no timer. */
using timer_id = std::uint64_t;

} // namespace mangopulley
