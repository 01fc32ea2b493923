#pragma once

#include <functional>
#include <memory>

#include "../core/fwd.hpp"

namespace mangopulley {

/*! @brief Runs calls to peers; a strategy, so that tests can run them in place. */
class task_runner {
public:
    task_runner() = default;
    task_runner(const task_runner&) = delete;
    task_runner& operator=(const task_runner&) = delete;
    virtual ~task_runner() = default;

    /*! @brief Runs a task now or soon; a runner with too many waiting tasks drops it. */
    virtual void run(std::function<void()> task) = 0;
};

/*! @brief Runs each task in place. */
class inline_runner final : public task_runner {
public:
    void run(const std::function<void()> task) override { task(); } // NOLINT(performance-unnecessary-value-param)
};

/*! @brief Runs tasks on a few threads, so that a peer that does not answer holds up no call to another. */
class pool_runner final : public task_runner {
public:
    /**
     * @brief Starts the threads.
     * @param threads Number of threads.
     * @param most_waiting Waiting tasks beyond which a new one is dropped.
     */
    pool_runner(std::size_t threads, std::size_t most_waiting);
    /*! @brief Waits for running tasks and drops the waiting ones. */
    ~pool_runner() override;

    void run(std::function<void()> task) override;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
