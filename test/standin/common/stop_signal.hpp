#pragma once

namespace standin {

/*! @brief Blocks SIGINT and SIGTERM in this thread and those it starts; call first in `main`. */
void block_stop_signals();

/*! @brief Waits until SIGINT or SIGTERM arrives. */
void wait_for_stop_signal();

} // namespace standin
