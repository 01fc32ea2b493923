#pragma once

#include <cstdint>
#include <memory>

#include "transaction.hpp"

namespace mangopulley::internal {

/*! @brief Returns the open attempt with this number, or null. */
[[nodiscard]] attempt* find_attempt(transaction& owner, std::uint64_t number) noexcept;

/**
 * @brief Passes the rest of a body that is not held whole from the caller to an attempt's target.
 *
 * The next part is read only when the target's connection has accepted the previous one, so that a slow target slows
 * down its caller. Does nothing for a request that is held whole, or once the attempt has ended.
 *
 * @param owner Transaction of the attempt.
 * @param number Number of the attempt.
 */
void upload_body(const std::shared_ptr<transaction>& owner, std::uint64_t number);

/*! @brief Stops reading the caller's body, which a later attempt may continue. */
void stop_upload(const transaction& owner);

} // namespace mangopulley::internal
