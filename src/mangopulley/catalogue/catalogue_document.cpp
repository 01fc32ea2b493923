#include "catalogue_document.hpp"

#include <algorithm>

namespace mangopulley {

namespace internal {

template <typename Entry>
[[nodiscard]] const Entry* find_by_name(const std::vector<Entry>& entries, const std::string_view name) noexcept {
    const auto position =
        std::find_if(entries.begin(), entries.end(), [name](const Entry& entry) { return entry.name == name; });
    return position == entries.end() ? nullptr : &*position;
}

} // namespace internal

const kind_rule* service_entry::find_kind(const std::string_view kind) const noexcept {
    return internal::find_by_name(this->kinds, kind);
}

const service_entry* catalogue_document::find_service(const std::string_view service) const noexcept {
    return internal::find_by_name(this->services, service);
}

} // namespace mangopulley
