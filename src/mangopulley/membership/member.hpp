#pragma once

#include <cstdint>
#include <string>

#include "../core/fwd.hpp"
#include "../core/incarnation_id.hpp"
#include "fwd.hpp"

namespace mangopulley {

/*! @brief State that an instance advertises; `leaving` is final for an incarnation. */
enum class member_state : unsigned char { live, leaving };

/*! @brief Failure detector state by the time since the last sign of life of an instance. */
enum class liveness : unsigned char { live, suspect, dead };

/*! @brief How information about a member reached this instance. */
enum class evidence : unsigned char {
    /*! @brief A message of unknown transit time; counts for liveness only. */
    message,
    /*! @brief The reply to a request whose time of sending is known; also proves contact. */
    reply
};

/*! @brief One incarnation (run of the process) of an entry instance. */
struct member {
    incarnation_id incarnation{};
    std::string instance_name{};
    /*! @brief `ip:port` for messages between instances. */
    std::string peer_endpoint{};
    /*! @brief `ip:port` for requests of callers. */
    std::string caller_address{};
    std::string zone{};
    std::string region{};
    member_state state{member_state::live};
    /*! @brief Whether the instance accepts new requests of callers. */
    bool serving{};
    /*! @brief Time since the last sign of life, direct or reported by a peer. */
    duration age{};
    /*! @brief Time since the incarnation started; of two incarnations with the same name, the younger one wins. */
    duration uptime{};
    /*! @brief Failure detector state that follows from `age`. */
    liveness health{liveness::live};
};

/*! @brief Compact report about a member that heartbeats gossip to peers. */
struct member_digest {
    /*! @brief Lower 32 bits of the incarnation; resolved by the member table. */
    std::uint32_t short_id{};
    duration age{};
    bool leaving{};
    bool serving{};
};

/*! @brief Numbers of known instances and of those in contact; both include this instance. */
struct contact_counts {
    std::size_t known{};
    std::size_t in_contact{};
};

/*! @brief Returns the lower 32 bits of an incarnation, which identify it in member digests. */
[[nodiscard]] constexpr std::uint32_t to_short_id(const incarnation_id id) noexcept {
    return static_cast<std::uint32_t>(id.value() & 0xFFFFFFFFU);
}

} // namespace mangopulley
