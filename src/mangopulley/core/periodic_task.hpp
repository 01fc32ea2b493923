#pragma once

#include <functional>
#include <memory>
#include <string>

#include "kernel.hpp"

namespace mangopulley {

/*! @brief Plug-in that calls a function at a fixed period on a thread of its own. */
class periodic_task final : public plugin {
public:
    /**
     * @brief Prepares the task; it runs from `start` until `stop`.
     * @param name Name for logs and the state dump.
     * @param period Time between the starts of two calls; a call that takes longer delays the next one.
     * @param action Function to call; it must not throw.
     */
    periodic_task(std::string name, milliseconds period, std::function<void()> action);
    ~periodic_task() override;

    [[nodiscard]] std::string_view name() const noexcept override;
    void start() override;
    void stop() noexcept override;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
