#pragma once

#include <string_view>

#include "../core/error.hpp"
#include "../observe/decision_log.hpp"
#include "../observe/metrics.hpp"
#include "transaction.hpp"

namespace mangopulley::internal {

/*! @brief Returns a number with two decimals, for header fields and log lines. */
[[nodiscard]] std::string to_decimal(double number);

/*! @brief Returns the word for a refusal in log lines. */
[[nodiscard]] std::string_view name_of(refusal_reason reason) noexcept;
/*! @brief Returns the word for a failure of the network in log lines. */
[[nodiscard]] std::string_view name_of(network_error_code code) noexcept;

/**
 * @brief Writes the line of a finished request and counts it.
 * @param item Request.
 * @param status Status that the caller got; 0 when it was gone.
 * @param outcome Word for the log and the counters.
 * @param now Present time.
 * @param log Receives the line.
 * @param numbers Receives the counts.
 */
void record_end(const transaction& item, int status, std::string_view outcome, time_point now, decision_log& log,
                metrics& numbers);

} // namespace mangopulley::internal
