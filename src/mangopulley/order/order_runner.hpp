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
     * @brief Sends an order to targets, with at most one attempt of which a byte may have reached a target.
     * @param request Order; it must not be sent after its deadline.
     * @return The target's answer. On failure `target_error`, whose `not_run` tells whether the order may have run, or
     * `network_error`, whose `request_not_sent` does, or an error of another type only when nothing was ever sent.
     */
    [[nodiscard]] virtual result<target_answer> run(const order_request& request) = 0;
};

} // namespace mangopulley
