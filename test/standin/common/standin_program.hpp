#pragma once

#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "process.hpp"

namespace standin {

/*! @brief Returns `127.0.0.1:port`. */
[[nodiscard]] inline std::string loopback(const std::uint16_t port) {
    return "127.0.0.1:" + std::to_string(port);
}

/*! @brief Stand-in program that listens and is ready. */
class standin_program {
public:
    /**
     * @brief Starts a stand-in on a free port and waits until it is ready.
     * @param binary_folder Build folder.
     * @param name `store`, `target`, `fault_proxy` or `director`.
     * @param arguments Arguments in addition to the port.
     * @param output_folder Folder for the output.
     * @throw std::runtime_error when it does not become ready within 10 s.
     */
    standin_program(const std::filesystem::path& binary_folder, const std::string& name,
                    const std::vector<std::string>& arguments, const std::filesystem::path& output_folder);

    /*! @brief Address of the service as `ip:port`. */
    [[nodiscard]] const std::string& address() const noexcept { return this->served; }
    /*! @brief Address of the control requests; the service's own one but for the proxy. */
    [[nodiscard]] const std::string& control_address() const noexcept { return this->controlled; }
    [[nodiscard]] process& program() noexcept { return *this->child; }

private:
    std::string served{};
    std::string controlled{};
    std::unique_ptr<process> child{};
};

} // namespace standin
