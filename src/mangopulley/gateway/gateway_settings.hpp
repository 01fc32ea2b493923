#pragma once

#include <cstdint>
#include <optional>
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
    /*! @brief CPU share in cores, and the speed of such a core relative to a usual one. */
    double cpu_share{1.0};
    double cpu_cores{1.0};
    /*! @brief Memory that the process may use in MB; an eighth of it is for request bodies. */
    std::uint64_t memory_mb{256U};
    /*! @brief Addresses to listen on, `ip:port`: callers, readiness, directory, operators; and the port for other
     * instances. */
    std::string caller_endpoint{};
    std::string readiness_endpoint{};
    std::string directory_endpoint{};
    std::string operator_endpoint{};
    std::uint16_t peer_port{};
    /*! @brief Addresses of other instances, `ip:port`; the port is ignored. */
    std::vector<std::string> seeds{};
    /*! @brief Name under which the platform adapter is registered. */
    std::string platform{"objects"};
    /*! @brief Address of the platform's object store, `ip:port`. */
    std::string store_endpoint{};
    std::string log_level{"info"};
    /*! @brief Time from the stop signal to forced termination. */
    duration stop_time{std::chrono::seconds{6}};
    /*! @brief Maximum lifetime of an address list at the callers. */
    duration max_address_lifetime{std::chrono::seconds{5}};
    /*! @brief Retries allowed per request of a service, plus a fixed number per window, over all instances together. */
    double retry_ratio{0.2};
    double retry_slack{50.0};
    duration retry_window{std::chrono::seconds{10}};
    /*! @brief Window of the bound on what teams with a quota may use, and by how much all instances together may exceed
     * it: a share of the quota, and requests. */
    duration quota_window{std::chrono::seconds{5}};
    double quota_excess{0.1};
    double quota_slack{20.0};
    /*! @brief Hedges allowed per request of a service, over all instances together: 0 for none; absent: second attempts
     * are limited by the retry budget only. */
    std::optional<double> hedge_share{};
    /*! @brief Probes per second of one target by all instances together. */
    double probes_per_target{60.0};
    /*! @brief Interval at which targets renew their entries in the platform's store. */
    duration target_heartbeat{std::chrono::milliseconds{1'500}};
    /*! @brief Time from the acknowledgement of an evacuation until nothing more may be sent to its zone; nothing where
     * zones are not evacuated. */
    std::optional<duration> evacuation_time{};
};

/**
 * @brief Parses and validates the settings of a gateway process.
 * @param source Name of the text for error messages, such as the file's path.
 * @param text YAML.
 * @return The settings, or `input_error` with line, field, the value found and the allowed range.
 */
[[nodiscard]] result<gateway_settings> parse_gateway_settings(std::string_view source, std::string_view text);

} // namespace mangopulley
