#include "endpoint.hpp"

#include <charconv>
#include <cstdint>
#include <string>

#include <Poco/Net/IPAddress.h>

namespace mangopulley {

// Addresses are handed to callers and peers as ip:port, which has no IPv6 form; the round trip rejects the short forms
// such as 127.1 that the parser of the operating system accepts.
bool is_ip_address(const std::string_view text) {
    Poco::Net::IPAddress address{};
    return Poco::Net::IPAddress::tryParse(std::string{text}, address) &&
           address.family() == Poco::Net::IPAddress::IPv4 && address.toString() == text && !address.isWildcard() &&
           !address.isBroadcast() && !address.isMulticast();
}

bool is_endpoint(const std::string_view text) {
    const auto colon = text.find(':');
    if (colon == std::string_view::npos || !is_ip_address(text.substr(0U, colon))) {
        return false;
    }
    const auto digits = text.substr(colon + 1U);
    std::uint16_t port{};
    const auto [end, fault] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    return fault == std::errc{} && end == digits.data() + digits.size() && port > 0U && digits.front() != '0';
}

} // namespace mangopulley
