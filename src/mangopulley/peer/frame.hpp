#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include <Poco/Net/StreamSocket.h>

#include "../wire/message.hpp"

namespace mangopulley::internal {

/*! @brief Size of the big-endian length that precedes each body. */
inline constexpr std::size_t frame_header_bytes = 4U;

/*! @brief Writes the length and the body as one buffer; throws `Poco::Exception` on failure. */
void write_frame(Poco::Net::StreamSocket& socket, std::string_view body);

/**
 * @brief Reads one frame.
 * @param socket Socket with a receive timeout.
 * @return The body.
 * @throw Poco::Exception when the connection fails, ends inside the frame, or the frame exceeds `longest_frame`.
 */
[[nodiscard]] std::string read_frame(Poco::Net::StreamSocket& socket);

} // namespace mangopulley::internal
