#pragma once

#include "../http/http_message.hpp"
#include "routing_config.hpp"

namespace mangopulley {

/**
 * @brief Returns the limits for callers' requests under a configuration.
 *
 * Before the first configuration every request passes to the handler, which answers 503: whether it is too large is not
 * known yet, and callers don't retry after 413 or 431.
 *
 * @param config Configuration in force.
 * @return Limits; times are rounded up to milliseconds.
 */
[[nodiscard]] http_limits request_limits(const routing_config& config);

} // namespace mangopulley
