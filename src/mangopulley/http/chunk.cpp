#include "chunk.hpp"

#include <array>
#include <charconv>

namespace mangopulley {

void append_chunk(std::string& bytes, const body_part& part) {
    if (!part.bytes.empty()) {
        constexpr int hexadecimal = 16;
        std::array<char, 16U> size{};
        const auto* end = std::to_chars(size.data(), size.data() + size.size(), part.bytes.size(), hexadecimal).ptr;
        bytes.append(size.data(), static_cast<std::size_t>(end - size.data()))
            .append("\r\n")
            .append(part.bytes)
            .append("\r\n");
    }
    if (part.position == body_part::state::last) {
        bytes.append("0\r\n\r\n");
    }
}

} // namespace mangopulley
