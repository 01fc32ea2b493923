#pragma once

#include "../core/error.hpp"
#include "../target/fwd.hpp"
#include "fwd.hpp"

namespace mangopulley {

/*! @brief Sends orders to targets. */
class order_runner {
public:
    order_runner() = default;
    order_runner(const order_runner&) = delete;
    order_runner& operator=(const order_runner&) = delete;
    virtual ~order_runner() = default;

    /**
     * @brief Sends an order to targets; in at most one attempt may any byte reach a target.
     * @param request Order; it must not be sent after its deadline.
     * @return The target's answer, or an error: `target_error`, whose `not_run` is true when the order provably did not
     * run; `network_error`, whose `request_not_sent` has the same meaning; any other type only if nothing was sent.
     */
    [[nodiscard]] virtual result<target_answer> run(const order_request& request) = 0;
};

} // namespace mangopulley
