#pragma once

namespace mangopulley {

/**
 * @brief Blocks SIGHUP, SIGTERM and SIGINT, which end a process that has no handlers yet.
 *
 * The program calls it before anything else. A signal that comes meanwhile is delivered by `unblock_service_signals`.
 */
void block_service_signals() noexcept;

/*! @brief Unblocks the signals, once they are handled or are meant to end the process. */
void unblock_service_signals() noexcept;

} // namespace mangopulley
