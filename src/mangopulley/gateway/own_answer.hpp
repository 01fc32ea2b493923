#pragma once

#include <optional>
#include <string_view>

#include "../http/http_message.hpp"
#include "dialect.hpp"
#include "route_table.hpp"
#include "route_times.hpp"
#include "transaction.hpp"

namespace mangopulley::internal {

/*! @brief Answer that the gateway gives itself, and the word for the log and the counters. */
struct own_verdict {
    int status{};
    std::string_view outcome{};
};

/**
 * @brief Fills in a transaction from its request.
 * @param item Transaction, whose exchange is set.
 * @param speech Fields in which the caller says what it wants.
 * @param routes Routes in force.
 * @param times What is known of the times of each route.
 * @return The answer to a request that cannot be forwarded: 503 without a configuration, 404 without a route, 400
 * without an id.
 */
[[nodiscard]] std::optional<own_verdict> read_arrival(transaction& item, const dialect& speech, route_table& routes,
                                                      route_times& times);

/*! @brief Makes the answer to a request that no target answered; a 503 says when asking again is of use. */
[[nodiscard]] http_reply own_answer(const transaction& item, const own_verdict& verdict);

/*! @brief Tells whether a status says that the request has not run; only a proof of that may be passed on as such. */
[[nodiscard]] bool promises_not_run(int status) noexcept;

} // namespace mangopulley::internal
