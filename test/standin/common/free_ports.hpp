#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace standin {

/**
 * @brief Finds ports of 127.0.0.1 that are free at the moment.
 *
 * The ports lie below the range that the system takes for outgoing connections, and a process never gets the same port
 * twice, so that a port stays free until its server starts.
 * @param count Number of ports.
 * @return The ports.
 */
[[nodiscard]] std::vector<std::uint16_t> free_ports(std::size_t count);

/*! @brief Finds one port; see `free_ports`. */
[[nodiscard]] std::uint16_t free_port();

} // namespace standin
