#pragma once

#include <cstdint>
#include <string_view>

namespace mangopulley {

/*! @brief Incremental FNV-1a hash of 64 bits; the same on every instance. */
class fnv_hash {
public:
    /*! @brief Adds a text and a mark of its end, so that neighbouring texts do not run together. */
    constexpr fnv_hash& add(const std::string_view text) noexcept {
        this->add_bytes(text).step(0U);
        return *this;
    }

    /*! @brief Adds the bytes of a text alone. */
    constexpr fnv_hash& add_bytes(const std::string_view text) noexcept {
        for (const char letter : text) {
            this->step(static_cast<unsigned char>(letter));
        }
        return *this;
    }

    /*! @brief Adds the eight bytes of a number, lowest first. */
    constexpr fnv_hash& add(std::uint64_t number) noexcept {
        constexpr unsigned bits_per_byte = 8U;
        for (unsigned byte = 0U; byte < sizeof(number); ++byte) {
            this->step(static_cast<unsigned char>(number));
            number >>= bits_per_byte;
        }
        return *this;
    }

    [[nodiscard]] constexpr std::uint64_t value() const noexcept { return this->state; }

private:
    constexpr void step(const unsigned char byte) noexcept {
        this->state ^= byte;
        this->state *= 1'099'511'628'211ULL;
    }

    std::uint64_t state{14'695'981'039'346'656'037ULL};
};

} // namespace mangopulley
