#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "../core/fwd.hpp"
#include "evacuation_set.hpp"
#include "routing_config.hpp"
#include "store_position.hpp"

namespace mangopulley {

/*! @brief Properties of an instance that do not change while it runs. */
struct instance_identity {
    std::string name{};
    std::string ip{};
    std::string zone{};
    std::string region{};
    /*! @brief Address that callers use, `ip:port`. */
    std::string caller_endpoint{};
    /*! @brief CPU share in thousandths of a core. */
    std::uint32_t millicores{};
};

/*! @brief State that an instance reports in its heartbeats. */
struct peer_record {
    std::uint64_t incarnation{};
    instance_identity identity{};
    /*! @brief Whether the instance may be advertised to callers. */
    bool ready{};
    /*! @brief Whether the instance is short of CPU time. */
    bool cpu_starved{};
    /*! @brief Smoothed rate of caller requests per second. */
    std::uint32_t requests_per_second{};
    /*! @brief Configuration in use; a default-constructed id without one. */
    config_id config{};
    /*! @brief Number of the read behind `config_age`, so that receivers recognize it in later reports. */
    std::uint32_t config_read{};
    /*! @brief Time since the configuration was last known to be current. */
    duration config_age{};
    /*! @brief Position of the target list; revision 0 without one. */
    store_position targets_position{};
    std::uint64_t targets_digest{};
    /*! @brief Number of targets that are excluded since the store was restored from a copy. */
    std::uint32_t excluded_targets{};
    /*! @brief Number of the read behind `targets_age`. */
    std::uint32_t targets_read{};
    /*! @brief Time since the target list was last known to be current. */
    duration targets_age{};
    /*! @brief Evacuated zones; revision 0 if the instance holds no set. */
    evacuation_set evacuations{};
    /*! @brief Number of the read behind `evacuations_age`. */
    std::uint32_t evacuations_read{};
    /*! @brief Time since the set of evacuated zones was last known to be current. */
    duration evacuations_age{};
};

/*! @brief Heartbeat datagram exchanged between instances. */
struct heartbeat_message {
    peer_record record{};
    /*! @brief Whether `record.identity` is included; most heartbeats omit it to save bytes. */
    bool introduces{};
    /*! @brief Whether the receiver should introduce itself. */
    bool requests_introduction{};
    /*! @brief Digest of the instances known to the sender; 0 if not included. */
    std::uint64_t members_digest{};
    /*! @brief Changes of the target list just read by the sender, encoded by `encode_changes`; usually empty. */
    std::string target_changes{};
};

/*! @brief Instance as known to another instance. */
struct known_instance {
    peer_record record{};
    /*! @brief Time since its last message. */
    duration silence{};
};

[[nodiscard]] std::string encode_peer_message(const heartbeat_message& message);
/*! @brief Decodes a heartbeat; `std::nullopt` if malformed. */
[[nodiscard]] std::optional<heartbeat_message> decode_peer_message(std::string_view bytes);
[[nodiscard]] std::string encode_members(const std::vector<known_instance>& members);
/*! @brief Decodes a list of instances; `std::nullopt` if malformed. */
[[nodiscard]] std::optional<std::vector<known_instance>> decode_members(std::string_view bytes);

} // namespace mangopulley
