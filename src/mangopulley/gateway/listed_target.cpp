#include "listed_target.hpp"

#include "fnv_hash.hpp"

namespace mangopulley {

std::uint64_t digest_of(const target_list& list) {
    fnv_hash digest{};
    for (const auto& target : list.targets) {
        digest.add(target.id);
        digest.add(target.born);
        digest.add(target.service);
        digest.add(target.endpoint);
        digest.add(target.zone);
        digest.add(std::uint64_t{target.slots});
        digest.add(std::uint64_t{target.leaving});
    }
    return digest.value();
}

} // namespace mangopulley
