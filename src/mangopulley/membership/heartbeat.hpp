#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "../core/fwd.hpp"
#include "../wire/message.hpp"
#include "fwd.hpp"
#include "member.hpp"

namespace mangopulley {

/*! @brief Demands in a heartbeat at most; the traffic of a service goes to its primary, so few services matter per
 * instance. */
inline constexpr std::size_t max_demands_per_heartbeat = 4U;
/*! @brief Member digests in a heartbeat at most; bounds its size, regardless of the size of the fleet. */
inline constexpr std::size_t max_digests_per_heartbeat = 16U;

/*! @brief Demand for a service at one instance. */
struct service_demand {
    /*! @brief `service_hash` of the service name. */
    std::uint32_t service{};
    double requests_per_second{};
};

/*! @brief Returns the hash that identifies a service in heartbeats; equal in all instances. */
[[nodiscard]] std::uint32_t service_hash(std::string_view service) noexcept;

/*! @brief Periodic message between instances; the reply has the same format. */
struct heartbeat {
    member sender{};
    /*! @brief Catalogue version in force at the sender. */
    std::uint64_t version{};
    /*! @brief Age of the last confirmation of the sender; empty if it has none. */
    std::optional<duration> confirmation_age{};
    /*! @brief Age of the last store response to the sender; empty if it has none. */
    std::optional<duration> store_age{};
    /*! @brief Revision of the platform's instance list at the sender. */
    std::uint64_t revision{};
    std::vector<service_demand> demands{};
    std::vector<member_digest> digests{};
};

/*! @brief Encodes a heartbeat; ages are rounded up, so that no information looks more recent than it is. */
[[nodiscard]] std::string encode(const heartbeat& message);
/*! @brief Decodes a heartbeat; empty if it is malformed. */
[[nodiscard]] std::optional<heartbeat> decode_heartbeat(std::string_view body);

namespace internal {

/*! @brief Writes an age in whole milliseconds, rounded up. */
void write_age(message_writer& writer, duration age);
/*! @brief Reads an age in whole milliseconds, capped at `removal_age`. */
[[nodiscard]] duration read_age(message_reader& reader);
/*! @brief Writes the full description of a member as nine values. */
void write_member(message_writer& writer, const member& description);
/*! @brief Reads the full description of a member. */
[[nodiscard]] member read_member(message_reader& reader);

} // namespace internal

} // namespace mangopulley
