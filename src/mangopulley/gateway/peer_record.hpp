#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "../core/fwd.hpp"

namespace mangopulley {

/*! @brief What an instance says of itself in its heartbeats. */
struct peer_record {
    std::uint64_t incarnation{};
    std::string name{};
    std::string ip{};
    std::string zone{};
    std::string region{};
    /*! @brief Address for callers, `ip:port`. */
    std::string caller_endpoint{};
    /*! @brief Whether callers may be sent to the instance. */
    bool ready{};
    std::uint64_t config_revision{};
    /*! @brief Age of the instance's knowledge that its configuration is the newest. */
    duration config_age{};
    std::uint64_t targets_revision{};
    std::uint64_t targets_digest{};
    /*! @brief Age of the instance's list of targets. */
    duration targets_age{};
    /*! @brief Addresses of the instances that it has heard from lately. */
    std::vector<std::string> known_ips{};
};

/*! @brief Encodes a heartbeat. */
[[nodiscard]] std::string encode_peer_record(const peer_record& record);
/*! @brief Decodes a heartbeat; nothing when the bytes are none. */
[[nodiscard]] std::optional<peer_record> decode_peer_record(std::string_view bytes);

} // namespace mangopulley
