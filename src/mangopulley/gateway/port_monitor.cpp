#include "port_monitor.hpp"

#include <string>
#include <utility>

namespace mangopulley {

port_monitor::port_monitor(decision_log& log, metrics& metric_sink, std::vector<monitored_port> ports)
    : output{log}, counters{metric_sink}, monitored{std::move(ports)} {}

void port_monitor::report() {
    for (auto& port : this->monitored) {
        const auto failure = port.failure();
        if (failure.has_value() == port.reported) {
            continue;
        }
        port.reported = failure.has_value();
        const std::string name{port.name};
        if (failure) {
            this->output.change("port_unavailable",
                                {{"port", name}, {"address", failure->address}, {"cause", failure->detail}});
            this->counters.count("ports_unavailable_total{port=\"" + name + "\"}");
        } else {
            this->output.change("port_opened", {{"port", name}});
        }
    }
}

} // namespace mangopulley
