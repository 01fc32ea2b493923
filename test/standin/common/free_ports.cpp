#include "free_ports.hpp"

#include <atomic>
#include <random>
#include <stdexcept>
#include <system_error>

#include "descriptor.hpp"

namespace standin {

namespace {

constexpr std::uint32_t first_port = 12'000U;
// Linux takes ports from 32768 on for outgoing connections.
constexpr std::uint32_t port_count = 20'000U;

// A random start keeps test programs that run at the same time apart.
std::atomic<std::uint32_t> next_port{std::random_device{}() % port_count};

} // namespace

std::vector<std::uint16_t> free_ports(const std::size_t count) {
    std::vector<std::uint16_t> ports{};
    for (std::uint32_t tries = 0U; ports.size() < count; ++tries) {
        if (tries == port_count) {
            throw std::runtime_error{"no free port"};
        }
        const auto port = static_cast<std::uint16_t>(first_port + next_port.fetch_add(1U) % port_count);
        try {
            static_cast<void>(listen_on(port));
            ports.push_back(port);
        } catch (const std::system_error&) { // NOLINT(bugprone-empty-catch)
            // The port is taken; the next one is tried.
        }
    }
    return ports;
}

std::uint16_t free_port() {
    return free_ports(1U).front();
}

} // namespace standin
