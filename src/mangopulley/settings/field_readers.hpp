#pragma once

#include <array>
#include <string_view>

#include "../catalogue/catalogue_document.hpp"
#include "../core/endpoint.hpp"
#include "../core/yaml_value.hpp"

namespace mangopulley::internal {

/*! @brief Levels of the log, most detailed first. */
constexpr std::array<std::string_view, 5U> log_levels{"trace", "debug", "info", "warn", "error"};
/*! @brief What an error says is expected in place of an unusable address of a machine. */
constexpr std::string_view ip_address_form{"an IPv4 address of one machine, such as 10.0.0.1"};
constexpr std::uint64_t highest_port = 65'535U;

/*! @brief Reads an identifier into the member given as template argument. */
template <auto Member, typename Settings>
[[nodiscard]] result<void> read_identifier(const yaml_value& value, Settings& target) {
    BOOST_LEAF_ASSIGN(target.*Member, value.text(is_identifier, identifier_form));
    return {};
}

/*! @brief Reads an address `ip:port` into the member given as template argument. */
template <auto Member, typename Settings>
[[nodiscard]] result<void> read_endpoint(const yaml_value& value, Settings& target) {
    BOOST_LEAF_ASSIGN(target.*Member, value.text(is_endpoint, endpoint_form));
    return {};
}

/*! @brief Reads the address of a machine into the member given as template argument. */
template <auto Member, typename Settings>
[[nodiscard]] result<void> read_ip(const yaml_value& value, Settings& target) {
    BOOST_LEAF_ASSIGN(target.*Member, value.text(is_ip_address, ip_address_form));
    return {};
}

/*! @brief Reads a port number into the member given as template argument. */
template <auto Member, typename Settings>
[[nodiscard]] result<void> read_port(const yaml_value& value, Settings& target) {
    return value.read(target.*Member, 1U, highest_port);
}

/*! @brief Reads a level of the log into the member given as template argument. */
template <auto Member, typename Settings>
[[nodiscard]] result<void> read_log_level(const yaml_value& value, Settings& target) {
    BOOST_LEAF_AUTO(index, value.choice(log_levels));
    target.*Member = log_levels[index];
    return {};
}

} // namespace mangopulley::internal
