#include "api_key.hpp"

#include <algorithm>
#include <cstring>

#include <Poco/SHA1Engine.h>

namespace mangopulley {

std::size_t key_digest_hash::operator()(const key_digest& digest) const noexcept {
    std::size_t value{};
    std::memcpy(&value, digest.data(), sizeof value);
    return value;
}

key_digest digest_of_key(const std::string_view key) {
    Poco::SHA1Engine engine{};
    engine.update(key.data(), key.size());
    const auto& bytes = engine.digest();
    key_digest result{};
    std::copy_n(bytes.begin(), result.size(), result.begin());
    return result;
}

} // namespace mangopulley
