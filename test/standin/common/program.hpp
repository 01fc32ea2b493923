#pragma once

#include <functional>

namespace standin {

/**
 * @brief Runs the body of a stand-in program and reports exceptions on standard error.
 * @param body Program; returns when it is to end.
 * @return Exit code: 0 done, 1 failed, 2 usage.
 */
[[nodiscard]] int run_program(const std::function<void()>& body) noexcept;

/*! @brief Prints `ready` on standard output: all ports are listening. */
void announce_ready();

} // namespace standin
