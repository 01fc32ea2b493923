#include "listed_target.hpp"

#include <string_view>

namespace mangopulley {

namespace internal {

namespace {

/*! @brief FNV-1a, the same on every instance. */
class digest_builder {
public:
    void add(const std::string_view text) noexcept {
        for (const char letter : text) {
            this->step(static_cast<unsigned char>(letter));
        }
        this->step(0U);
    }

    void add(std::uint64_t number) noexcept {
        for (int byte = 0; byte < 8; ++byte) {
            this->step(static_cast<unsigned char>(number));
            number >>= 8U;
        }
    }

    [[nodiscard]] std::uint64_t value() const noexcept { return this->state; }

private:
    void step(const unsigned char byte) noexcept {
        this->state ^= byte;
        this->state *= 1'099'511'628'211ULL;
    }

    std::uint64_t state{14'695'981'039'346'656'037ULL};
};

} // namespace

} // namespace internal

std::uint64_t digest_of(const target_list& list) {
    internal::digest_builder digest{};
    for (const auto& target : list.targets) {
        digest.add(target.id);
        digest.add(target.born);
        digest.add(target.service);
        digest.add(target.endpoint);
        digest.add(target.zone);
        digest.add(target.slots);
        digest.add(target.leaving ? 1U : 0U);
    }
    return digest.value();
}

} // namespace mangopulley
