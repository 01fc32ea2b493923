#pragma once

#include <string>

#include "body_part.hpp"

namespace mangopulley {

/**
 * @brief Appends a part of a body in the chunked transfer coding (RFC 9112, section 7.1).
 * @param bytes Receives the chunk; with the last part also the end of the body, without trailer fields.
 * @param part Part, which must not be `broken`.
 */
void append_chunk(std::string& bytes, const body_part& part);

} // namespace mangopulley
