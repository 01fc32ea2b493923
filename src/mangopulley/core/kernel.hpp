#pragma once

#include <memory>
#include <string_view>

#include "fwd.hpp"

namespace mangopulley {

/*! @brief Part of a process with a life of its own, such as a server or a background task. */
class plugin {
public:
    plugin() = default;
    plugin(const plugin&) = delete;
    plugin& operator=(const plugin&) = delete;
    virtual ~plugin() = default;

    /*! @brief Returns the name used in logs and in the state dump. */
    [[nodiscard]] virtual std::string_view name() const noexcept = 0;
    /*! @brief Begins work; returns without waiting for it to end. */
    virtual void start() = 0;
    /*! @brief Ends work and waits until it has ended; called at most once after `start`. */
    virtual void stop() noexcept = 0;
};

/*! @brief Starts plug-ins in the order in which they were added and stops them in reverse order. */
class kernel {
public:
    kernel();
    kernel(const kernel&) = delete;
    kernel& operator=(const kernel&) = delete;
    ~kernel();

    /*! @brief Takes over a plug-in. */
    void add(std::unique_ptr<plugin> part);
    /*! @brief Starts all plug-ins; when one throws, stops those already started and passes the exception on. */
    void start();
    /*! @brief Stops all started plug-ins in reverse order. */
    void stop() noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
