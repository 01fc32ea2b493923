#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "departed_targets.hpp"
#include "listed_target.hpp"
#include "routing_config.hpp"

namespace mangopulley {

/*! @brief Encodes a target list for another instance. */
[[nodiscard]] std::string encode_targets(const target_list& list);
/*! @brief Decodes a target list; `std::nullopt` if malformed. */
[[nodiscard]] std::optional<target_list> decode_targets(std::string_view bytes);
/*! @brief Encodes changes of a target list for another instance. */
[[nodiscard]] std::string encode_changes(const target_changes& changes);
/*! @brief Decodes changes of a target list; `std::nullopt` if malformed. */
[[nodiscard]] std::optional<target_changes> decode_changes(std::string_view bytes);
/*! @brief Encodes the targets excluded since a restore of the store for another instance. */
[[nodiscard]] std::string encode_departed(const departure_report& report);
/*! @brief Decodes excluded targets; `std::nullopt` if malformed. */
[[nodiscard]] std::optional<departure_report> decode_departed(std::string_view bytes);
/*! @brief Encodes a routing configuration for another instance. */
[[nodiscard]] std::string encode_config(const routing_config& config);
/*! @brief Decodes a routing configuration; `std::nullopt` if malformed. */
[[nodiscard]] std::optional<routing_config> decode_config(std::string_view bytes);

} // namespace mangopulley
