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

/*! @brief Most demands in a heartbeat; a service's traffic goes to its lead, so few services matter per instance. */
inline constexpr std::size_t demands_per_heartbeat = 4U;
/*! @brief Most member ages in a heartbeat; keeps its size constant however large the fleet is. */
inline constexpr std::size_t ages_per_heartbeat = 16U;

/*! @brief Demand for a service at one instance. */
struct service_demand {
    /*! @brief `service_hash` of the service's name. */
    std::uint32_t service{};
    double requests_per_second{};
};

/*! @brief Returns the short form of a service's name in heartbeats, equal in all instances. */
[[nodiscard]] std::uint32_t service_hash(std::string_view service) noexcept;

/*! @brief Periodic message between instances and its reply. */
struct heartbeat {
    member sender{};
    std::uint64_t version{};
    std::optional<duration> confirmation_age{};
    std::optional<duration> store_age{};
    std::uint64_t revision{};
    std::vector<service_demand> demands{};
    std::vector<member_age> ages{};
};

/*! @brief Writes a heartbeat; ages are rounded up, so that nothing looks younger than it is. */
[[nodiscard]] std::string encode(const heartbeat& message);
/*! @brief Reads a heartbeat; nothing when it is malformed. */
[[nodiscard]] std::optional<heartbeat> decode_heartbeat(std::string_view body);

namespace internal {

/*! @brief Writes an age in whole milliseconds, rounded up. */
void write_age(message_writer& writer, duration age);
/*! @brief Reads an age, at most `forgotten_age`. */
[[nodiscard]] duration read_age(message_reader& reader);
/*! @brief Writes a full description of a member; nine values. */
void write_member(message_writer& writer, const member& about);
/*! @brief Reads a full description of a member. */
[[nodiscard]] member read_member(message_reader& reader);

} // namespace internal

} // namespace mangopulley
