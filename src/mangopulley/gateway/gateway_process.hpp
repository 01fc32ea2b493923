#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "../core/clock.hpp"
#include "gateway_settings.hpp"

namespace mangopulley {

/*! @brief Creates the components of a gateway and runs them on one event loop. */
class gateway_process {
public:
    /**
     * @brief Constructs the process.
     * @param configuration Settings.
     * @param settings_text Text that the settings were read from.
     * @param time Clock, which must outlive the process.
     * @param read_settings Returns the current text of the settings file, for reloads; empty if it cannot be read.
     */
    gateway_process(gateway_settings configuration, std::string settings_text, const clock& time,
                    std::function<std::string()> read_settings);
    gateway_process(const gateway_process&) = delete;
    gateway_process& operator=(const gateway_process&) = delete;
    ~gateway_process();

    /*! @brief Serves until a requested stop completes; ports that cannot be opened are tried again meanwhile. */
    void run();
    /*! @brief Requests a graceful stop; safe in a signal handler. */
    void request_stop() noexcept;
    /*! @brief Requests a reload of the settings; safe in a signal handler. */
    void request_reload() noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
