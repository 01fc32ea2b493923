#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "../core/clock.hpp"
#include "gateway_settings.hpp"

namespace mangopulley {

/*! @brief Composes a gateway from its parts and runs it on one event loop. */
class gateway_process {
public:
    /**
     * @brief Prepares the process.
     * @param configuration Settings.
     * @param time Clock, which must outlive the process.
     * @param read_settings Returns the text of the settings file now, for reloads; empty when it cannot be read.
     */
    gateway_process(gateway_settings configuration, const clock& time, std::function<std::string()> read_settings);
    gateway_process(const gateway_process&) = delete;
    gateway_process& operator=(const gateway_process&) = delete;
    ~gateway_process();

    /*! @brief Listens and serves until the stop was asked for and is done; throws `Poco::Exception` on a bad port. */
    void run();
    /*! @brief Asks for a graceful stop; safe in a signal handler. */
    void request_stop() noexcept;
    /*! @brief Asks to read the settings again; safe in a signal handler. */
    void request_reload() noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
