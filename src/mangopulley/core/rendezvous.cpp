#include "rendezvous.hpp"

#include "fnv_hash.hpp"

namespace mangopulley {

namespace internal {

namespace {

[[nodiscard]] std::uint64_t finish_hash(std::uint64_t value) noexcept {
    // Finaliser of SplitMix64: FNV-1a alone ranks names that differ only in the last letter alike for all keys.
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

[[nodiscard]] std::uint64_t hash_text(const std::string_view text) noexcept {
    // std::hash is not the same in all builds.
    return finish_hash(fnv_hash{}.add_bytes(text).value());
}

} // namespace

} // namespace internal

std::uint64_t rendezvous_rank(const std::string_view key, const std::string_view member) noexcept {
    return internal::finish_hash(fnv_hash{}.add_bytes(member).value() ^ internal::hash_text(key));
}

} // namespace mangopulley
