#pragma once

#include <string>
#include <string_view>

#include "../core/error.hpp"
#include "../observe/decision_log.hpp"
#include "../observe/metrics.hpp"
#include "transaction.hpp"

namespace mangopulley::internal {

/*! @brief Formats a time in milliseconds with one decimal, for log lines. */
[[nodiscard]] std::string to_milliseconds(duration time);
/*! @brief Formats a number with two decimals, for header fields and log lines. */
[[nodiscard]] std::string to_decimal(double number);

/*! @brief Returns the label of a refusal reason in log lines. */
[[nodiscard]] std::string_view name_of(refusal_reason reason) noexcept;
/*! @brief Returns the label of a transaction's hedge in log lines; empty if it was never due. */
[[nodiscard]] std::string hedge_label(const transaction& transaction);
/*! @brief Returns the label of a network error in log lines. */
[[nodiscard]] std::string_view name_of(network_error_code code) noexcept;

/**
 * @brief Logs a finished transaction and updates the request metrics.
 * @param transaction Finished transaction.
 * @param status Status sent to the caller; 0 if the caller disconnected before.
 * @param outcome Outcome label for the log and the metrics.
 * @param now Current time.
 * @param log Receives the log line.
 * @param metric_sink Receives the counter and the latency.
 */
void record_completion(const transaction& transaction, int status, std::string_view outcome, time_point now,
                       decision_log& log, metrics& metric_sink);

} // namespace mangopulley::internal
