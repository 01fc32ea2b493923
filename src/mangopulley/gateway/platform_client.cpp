#include "platform_client.hpp"

namespace mangopulley {

std::string_view name_of(const platform_error::reason why) noexcept {
    switch (why) {
    case platform_error::reason::unreachable:
        return "unreachable";
    case platform_error::reason::refused:
        return "refused";
    case platform_error::reason::malformed:
        return "malformed";
    case platform_error::reason::missing:
        return "missing";
    case platform_error::reason::outdated:
        return "outdated";
    }
    return "unknown";
}

} // namespace mangopulley
