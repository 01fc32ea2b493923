#pragma once

#include <cstdint>
#include <string>

#include "../core/fwd.hpp"
#include "../core/incarnation_id.hpp"
#include "fwd.hpp"

namespace mangopulley {

/*! @brief What an instance says of itself; `leaving` is final for an incarnation. */
enum class member_state : unsigned char { live, leaving };

/*! @brief Judgement by the time since an instance was last heard. */
enum class liveness : unsigned char { live, suspect, dead };

/*! @brief How knowledge about a member reached this instance. */
enum class evidence : unsigned char {
    /*! @brief A message of unknown transit time; it serves liveness only. */
    message,
    /*! @brief The reply to a request whose sending time is known; it also proves contact. */
    reply
};

/*! @brief One incarnation of an entry instance. */
struct member {
    incarnation_id incarnation{};
    std::string instance_name{};
    /*! @brief `ip:port` for messages between instances. */
    std::string peer_endpoint{};
    /*! @brief `ip:port` that callers use. */
    std::string caller_address{};
    std::string zone{};
    std::string region{};
    member_state state{member_state::live};
    /*! @brief Whether the instance takes new requests of callers. */
    bool serving{};
    /*! @brief Time since it was last heard, second-hand reports included. */
    duration age{};
    /*! @brief Time since the incarnation started; the younger of two incarnations of a name replaces the other. */
    duration uptime{};
    /*! @brief Judgement of `age`. */
    liveness health{liveness::live};
};

/*! @brief Second-hand report about a member, short enough for heartbeats. */
struct member_age {
    /*! @brief Lower half of the incarnation; the table resolves it. */
    std::uint32_t prefix{};
    duration age{};
    bool leaving{};
    bool serving{};
};

/*! @brief Number of instances known and of those in contact, this instance included in both. */
struct contact_counts {
    std::size_t known{};
    std::size_t in_contact{};
};

/*! @brief Shortens an incarnation to the form used in member ages. */
[[nodiscard]] constexpr std::uint32_t short_prefix(const incarnation_id id) noexcept {
    return static_cast<std::uint32_t>(id.value() & 0xFFFFFFFFU);
}

} // namespace mangopulley
