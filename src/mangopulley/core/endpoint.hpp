#pragma once

#include <string_view>

namespace mangopulley {

/*! @brief Tells whether a text is the dotted form of an IPv4 address of one machine. */
[[nodiscard]] bool is_ip_address(std::string_view text);

/*! @brief Tells whether a text is an address as of `is_ip_address`, a colon and a port from 1 to 65535. */
[[nodiscard]] bool is_endpoint(std::string_view text);

/*! @brief What `is_endpoint` accepts, for errors. */
inline constexpr std::string_view endpoint_form = "an IPv4 address and port, such as 10.0.0.1:80";

} // namespace mangopulley
