#include "request_limits.hpp"

#include <chrono>
#include <limits>

namespace mangopulley {

namespace internal {

namespace {

// A body that is held whole can be sent again when a target states that it did not execute the request.
constexpr std::size_t longest_held_body = 262'144U;
// Bounds the memory of a head with many short fields; typical ones have 20 to 60 bytes.
constexpr std::size_t min_bytes_per_field = 32U;
// Several times the head that operators allow.
constexpr std::size_t longest_head_without_config = 65'536U;

} // namespace

} // namespace internal

http_limits request_limits(const routing_config& config) {
    http_limits bounds{};
    bounds.accept_chunked = true;
    bounds.longest_head = config.limits.head_bytes;
    bounds.longest_body = config.limits.body_bytes;
    bounds.longest_held_body = internal::longest_held_body;
    if (!config.loaded()) {
        bounds.longest_head = internal::longest_head_without_config;
        bounds.longest_body = std::numeric_limits<std::size_t>::max();
        bounds.longest_held_body = 0U;
    }
    bounds.longest_target = bounds.longest_head;
    bounds.most_headers = bounds.longest_head / internal::min_bytes_per_field;
    bounds.longest_receive = std::chrono::ceil<milliseconds>(config.limits.receive_timeout);
    bounds.longest_idle = std::chrono::ceil<milliseconds>(config.limits.idle_timeout);
    return bounds;
}

} // namespace mangopulley
