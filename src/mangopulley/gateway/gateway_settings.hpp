#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "../core/error.hpp"
#include "../core/fwd.hpp"

namespace mangopulley {

/*! @brief Settings of one gateway process. */
struct gateway_settings {
    std::string instance_name{};
    std::string ip{};
    std::string zone{};
    std::string region{};
    /*! @brief Share of a core, and how many times as fast as usual that core is. */
    double cpu_share{1.0};
    double cpu_cores{1.0};
    /*! @brief Addresses to listen on, `ip:port`: callers' requests, readiness, look-ups, operators, other instances. */
    std::string caller_endpoint{};
    std::string readiness_endpoint{};
    std::string directory_endpoint{};
    std::string operator_endpoint{};
    std::uint16_t peer_port{};
    /*! @brief Addresses of other instances, `ip:port`; the port is not used. */
    std::vector<std::string> seeds{};
    /*! @brief Registered name of the platform. */
    std::string platform{"objects"};
    /*! @brief `ip:port` of the platform's store. */
    std::string store_endpoint{};
    std::string log_level{"info"};
    /*! @brief Time from the stop signal to the forced end. */
    duration stop_time{std::chrono::seconds{6}};
    /*! @brief Longest time that callers keep an address list. */
    duration longest_lifetime{std::chrono::seconds{5}};
    /*! @brief Second sends allowed for each request of a service, and besides in each window. */
    double repeat_ratio{0.2};
    double repeat_slack{50.0};
    duration repeat_window{std::chrono::seconds{10}};
    /*! @brief Probes of one target in a second by all instances together. */
    double probes_per_target{60.0};
};

/**
 * @brief Reads and checks the settings of a gateway process.
 * @param source Name of the text for error messages, such as the file's path.
 * @param text YAML.
 * @return The settings, or `input_error` with line, field, the value found and the range allowed.
 */
[[nodiscard]] result<gateway_settings> parse_gateway_settings(std::string_view source, std::string_view text);

} // namespace mangopulley
