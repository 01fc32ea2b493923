#pragma once

#include <cstddef>
#include <memory>

#include "../core/kernel.hpp"
#include "../target/target_client.hpp"
#include "dispatcher.hpp"
#include "fwd.hpp"

namespace mangopulley {

/**
 * @brief Cancels attempts at targets on threads of its own, so that no caller waits for it.
 *
 * The slot of an attempt is given back when the target has been told, since until then the target still works on it.
 * One pool serves all services of a process; it must be stopped or destroyed before the dispatchers.
 */
class cancel_pool final : public plugin {
public:
    /**
     * @brief Prepares the pool; it runs from `start` until `stop`.
     * @param threads Cancellations at the same time.
     * @param longest_queue Attempts that wait for cancellation at most; further ones only get their connection closed.
     */
    explicit cancel_pool(std::size_t threads = 8U, std::size_t longest_queue = 1024U);
    ~cancel_pool() override;

    [[nodiscard]] std::string_view name() const noexcept override;
    void start() override;
    /*! @brief Waits for the cancellations that have begun; closes the connections of the others. */
    void stop() noexcept override;

    /**
     * @brief Takes over an attempt; returns at once. When the pool does not run, only closes the connection.
     * @param open Attempt at the target.
     * @param right Its slot.
     * @param seen What to report of the attempt.
     */
    void submit(std::unique_ptr<exchange> open, slot right, const observation& seen);

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
