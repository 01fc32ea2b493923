#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "../core/error.hpp"
#include "../core/fwd.hpp"

namespace mangopulley {

/*! @brief Settings of one entry process. */
struct settings {
    /*! @brief Stable name of the instance, unique in the platform's list. */
    std::string instance_name{};
    /*! @brief IP address that all ports listen on. */
    std::string ip{};
    std::uint16_t caller_port{};
    std::uint16_t operator_port{};
    std::uint16_t peer_port{};
    std::string zone{};
    std::string region{};
    /*! @brief `ip:port` of the platform's store. */
    std::string store_address{};
    milliseconds store_timeout{500};
    /*! @brief URLs of the director's alert endpoints, tried in order. */
    std::vector<std::string> director_endpoints{};
    /*! @brief `trace`, `debug`, `info`, `warn` or `error`. */
    std::string log_level{"info"};
    /*! @brief Worker threads for callers' requests. */
    std::uint32_t workers{256};

    [[nodiscard]] std::string caller_address() const { return this->ip + ':' + std::to_string(this->caller_port); }
    [[nodiscard]] std::string operator_address() const { return this->ip + ':' + std::to_string(this->operator_port); }
    [[nodiscard]] std::string peer_address() const { return this->ip + ':' + std::to_string(this->peer_port); }
};

/**
 * @brief Reads and checks the settings of an entry process.
 * @param source Name of the text for error messages, such as the file's path.
 * @param text YAML.
 * @return The settings, or `input_error` with line, field, the value found and the range allowed.
 */
[[nodiscard]] result<settings> parse_settings(std::string_view source, std::string_view text);

} // namespace mangopulley
