#pragma once

#include <cstdint>
#include <string>

#include "../catalogue/fwd.hpp"
#include "../core/error.hpp"
#include "../store/fwd.hpp"

namespace mangopulley {

/*! @brief Returns an error as one line: source, line, field, the value found and what is allowed. */
[[nodiscard]] std::string describe(const input_error& error);
/*! @brief Returns an error as one line: what failed at the store, for which key. */
[[nodiscard]] std::string describe(const store_error& error);
/*! @brief Returns an edit as one line: version, time, operator and id. */
[[nodiscard]] std::string describe(const edit_record& edit);
/*! @brief Returns a wall time in UTC as of ISO 8601 with seconds. */
[[nodiscard]] std::string format_wall_time(std::int64_t wall_ms);

} // namespace mangopulley
