#include "standin_program.hpp"

#include <stdexcept>

#include "free_ports.hpp"

namespace standin {

namespace {

constexpr std::chrono::seconds start_limit{10};
constexpr int most_starts = 3;

} // namespace

standin_program::standin_program(const std::filesystem::path& binary_folder, const std::string& name,
                                 const std::vector<std::string>& arguments,
                                 const std::filesystem::path& output_folder) {
    const bool proxy = name == "fault_proxy";
    // Another program can take a free port before this one listens; it is then started again on other ports.
    for (int start = 0; start < most_starts; ++start) {
        const auto ports = free_ports(2U);
        this->served = loopback(ports[0U]);
        this->controlled = proxy ? loopback(ports[1U]) : this->served;
        auto all = arguments;
        all.insert(all.end(), {proxy ? "--listen" : "--port", std::to_string(ports[0U])});
        if (proxy) {
            all.insert(all.end(), {"--control", std::to_string(ports[1U])});
        }
        const auto output = output_folder / (name + '-' + std::to_string(ports[0U]) + ".out");
        this->child = std::make_unique<process>(binary_folder / "test" / ("standin_" + name), all, output);
        if (this->child->wait_ready(start_limit)) {
            return;
        }
    }
    throw std::runtime_error{"standin_" + name + " is not ready: " + this->child->output()};
}

} // namespace standin
