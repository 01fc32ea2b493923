#pragma once

#include <functional>
#include <memory>

#include "../core/fwd.hpp"

namespace mangopulley {

/*! @brief Executor for calls to peers; abstract, so that tests can run the calls synchronously. */
class task_runner {
public:
    task_runner() = default;
    task_runner(const task_runner&) = delete;
    task_runner& operator=(const task_runner&) = delete;
    virtual ~task_runner() = default;

    /**
     * @brief Runs a task, synchronously or on another thread.
     * @param task Task; dropped without notice if the queue of the runner is full.
     */
    virtual void run(std::function<void()> task) = 0;
};

/*! @brief Runs each task synchronously in the calling thread. */
class inline_runner final : public task_runner {
public:
    void run(const std::function<void()> task) override { task(); } // NOLINT(performance-unnecessary-value-param)
};

/*! @brief Thread pool with a bounded queue; an unresponsive peer does not block calls to other peers. */
class pool_runner final : public task_runner {
public:
    /**
     * @brief Starts the threads.
     * @param threads Number of threads.
     * @param max_queued Queue length at which new tasks are dropped.
     */
    pool_runner(std::size_t threads, std::size_t max_queued);
    /*! @brief Waits for running tasks to finish and drops the queued ones. */
    ~pool_runner() override;

    void run(std::function<void()> task) override;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
