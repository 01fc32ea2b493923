#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "../core/fwd.hpp"

namespace mangopulley {

/*! @brief What stays the same about an instance while it runs. */
struct instance_identity {
    std::string name{};
    std::string ip{};
    std::string zone{};
    std::string region{};
    /*! @brief Address for callers, `ip:port`. */
    std::string caller_endpoint{};
    /*! @brief Processor share in thousandths of a core. */
    std::uint32_t millicores{};
};

/*! @brief What an instance says of itself in its heartbeats. */
struct peer_record {
    std::uint64_t incarnation{};
    instance_identity identity{};
    /*! @brief Whether callers may be sent to the instance. */
    bool ready{};
    /*! @brief Whether the instance is short of processor time. */
    bool strained{};
    /*! @brief Requests of callers in a second, smoothed. */
    std::uint32_t requests_per_second{};
    std::uint64_t config_revision{};
    /*! @brief Number of the read behind `config_age`, so that receivers know it when they hear of it again. */
    std::uint32_t config_read{};
    /*! @brief Age of the instance's knowledge that its configuration is the newest. */
    duration config_age{};
    std::uint64_t targets_revision{};
    std::uint64_t targets_digest{};
    /*! @brief Number of the read behind `targets_age`. */
    std::uint32_t targets_read{};
    /*! @brief Age of the instance's list of targets. */
    duration targets_age{};
};

/*! @brief One datagram between instances. */
struct heartbeat_message {
    peer_record record{};
    /*! @brief Whether `record.identity` is filled in; most heartbeats leave it out to save bytes. */
    bool introduces{};
    /*! @brief Whether the receiver shall introduce itself. */
    bool asks{};
    /*! @brief Digest of the instances that the sender knows; 0 when it is not told. */
    std::uint64_t members_digest{};
    /*! @brief Changes of the list of targets that the sender has just read, by `encode_changes`; mostly empty. */
    std::string target_changes{};
};

/*! @brief Instance as another one knows it. */
struct known_instance {
    peer_record record{};
    /*! @brief Time since it was heard from. */
    duration silence{};
};

[[nodiscard]] std::string encode_peer_message(const heartbeat_message& message);
/*! @brief Decodes a datagram; nothing when the bytes are none. */
[[nodiscard]] std::optional<heartbeat_message> decode_peer_message(std::string_view bytes);
[[nodiscard]] std::string encode_members(const std::vector<known_instance>& members);
/*! @brief Decodes a list of instances; nothing when the bytes are none. */
[[nodiscard]] std::optional<std::vector<known_instance>> decode_members(std::string_view bytes);

} // namespace mangopulley
