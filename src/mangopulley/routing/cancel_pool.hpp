#pragma once

#include <cstddef>
#include <memory>

#include "../core/kernel.hpp"
#include "../target/target_client.hpp"
#include "dispatcher.hpp"
#include "fwd.hpp"

namespace mangopulley {

/**
 * @brief Cancels attempts at targets on background threads, so that no caller waits for a cancellation.
 *
 * The slot of an attempt is released once the cancellation was sent, since the target works on the request until then.
 * One pool serves all services of a process; it must be stopped or destroyed before the dispatchers.
 */
class cancel_pool final : public plugin {
public:
    /**
     * @brief Creates a pool, which runs from `start` until `stop`.
     * @param threads Maximum number of concurrent cancellations.
     * @param queue_capacity Maximum number of attempts waiting for cancellation; the connections of further ones are
     * only closed.
     */
    explicit cancel_pool(std::size_t threads = 8U, std::size_t queue_capacity = 1024U);
    ~cancel_pool() override;

    [[nodiscard]] std::string_view name() const noexcept override;
    void start() override;
    /*! @brief Waits for the cancellations in progress and closes the connections of the queued attempts. */
    void stop() noexcept override;

    /**
     * @brief Queues an attempt for cancellation without blocking; only closes its connection when the pool is not
     * running.
     * @param open_exchange Exchange with the target.
     * @param target_slot Slot of the attempt.
     * @param report Report on the attempt.
     */
    void submit(std::unique_ptr<exchange> open_exchange, slot target_slot, const attempt_report& report);

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
