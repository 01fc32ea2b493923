#pragma once

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

#include "../core/error.hpp"
#include "../observe/decision_log.hpp"
#include "../observe/metrics.hpp"

namespace mangopulley {

/*! @brief Local port of the process that may be unavailable. */
struct monitored_port {
    std::string_view name;
    /*! @brief Returns why the port is unavailable; nothing while it is available. */
    std::function<std::optional<port_error>()> failure;
    /*! @brief Whether the failure was logged. */
    bool reported{};
};

/*! @brief Logs and counts ports that cannot be opened, and their recovery. */
class port_monitor {
public:
    /*! @brief Creates a monitor; the log, the metrics and the owners of the ports must outlive it. */
    port_monitor(decision_log& log, metrics& metric_sink, std::vector<monitored_port> ports);

    /*! @brief Logs each port that became unavailable or available since the previous call. */
    void report();

private:
    decision_log& output;
    metrics& counters;
    std::vector<monitored_port> monitored;
};

} // namespace mangopulley
