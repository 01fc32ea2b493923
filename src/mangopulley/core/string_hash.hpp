#pragma once

#include <cstddef>
#include <functional>
#include <string_view>

namespace mangopulley {

/*! @brief Hash function of strings with which a hash table is searched by views, without a copy. */
struct string_hash {
    using is_transparent = void;

    [[nodiscard]] std::size_t operator()(const std::string_view text) const noexcept {
        return std::hash<std::string_view>{}(text);
    }
};

} // namespace mangopulley
