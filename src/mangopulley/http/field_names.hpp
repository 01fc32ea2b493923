#pragma once

#include <string>

/*! @brief Names of HTTP fields that concern framing and connections (RFC 9110 and 9112). */
namespace mangopulley::field_name {

inline const std::string connection{"Connection"};
inline const std::string content_encoding{"Content-Encoding"};
inline const std::string content_length{"Content-Length"};
inline const std::string expect{"Expect"};
inline const std::string host{"Host"};
inline const std::string keep_alive{"Keep-Alive"};
inline const std::string retry_after{"Retry-After"};
inline const std::string www_authenticate{"WWW-Authenticate"};
inline const std::string transfer_encoding{"Transfer-Encoding"};

} // namespace mangopulley::field_name
