#pragma once

namespace mangopulley {

class peer_server;
class peer_transport;
class tcp_peer_transport;

} // namespace mangopulley
