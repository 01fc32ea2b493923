#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "../core/fwd.hpp"
#include "api_key.hpp"
#include "store_position.hpp"

namespace mangopulley {

/*! @brief Service in a route's split, which receives a share of the route's requests. */
struct split_part {
    std::string service{};
    /*! @brief Weight relative to the other services of the split. */
    double weight{1.0};

    friend bool operator==(const split_part&, const split_part&) = default;
};

/*! @brief Match by host and path prefix, and how matching requests are handled. */
struct route {
    std::string name{};
    std::string host{};
    /*! @brief Begins and ends with a slash. */
    std::string prefix{};
    bool idempotent{};
    /*! @brief Longest time from a request's arrival to its response. */
    duration time_limit{};
    /*! @brief Time within which a response has its full value. */
    duration latency_goal{};
    /*! @brief Priority; 0 is the highest. */
    std::uint32_t priority{};
    /*! @brief Largest number of attempts per request. */
    std::uint32_t max_attempts{1};
    std::vector<split_part> parts{};
    /*! @brief Whether requests need no API key. */
    bool is_public{};

    friend bool operator==(const route&, const route&) = default;
};

/*! @brief Service that routes forward to. */
struct service_config {
    std::string name{};
    std::string health_path{};
    /*! @brief Largest number of connections that one target accepts from all instances together. */
    std::uint32_t max_connections_per_target{};
    /*! @brief Time for which a target stays cold after its start; zero if its targets do not. */
    duration warm_up{};
    /*! @brief Requests per second that a cold target tolerates from all instances together; 0 without a limit. */
    double warm_up_rate{};

    friend bool operator==(const service_config&, const service_config&) = default;
};

/*! @brief Team that callers belong to, with its API keys and its quota over all instances together. */
struct team_config {
    std::string name{};
    std::vector<key_digest> keys{};
    /*! @brief Priority, which goes before the route's; 0 is the highest. */
    std::uint32_t priority{};
    /*! @brief Requests per second; 0 without a limit. */
    double rate{};
    /*! @brief Requests that may exceed the rate at once. */
    double burst{};

    friend bool operator==(const team_config&, const team_config&) = default;
};

/*! @brief Limits on the size of caller requests, the time to receive one and the idle time of connections. */
struct caller_limits {
    std::size_t head_bytes{16'384U};
    std::size_t body_bytes{1'048'576U};
    duration receive_timeout{std::chrono::seconds{3}};
    duration idle_timeout{std::chrono::seconds{15}};

    friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

/**
 * @brief Identifies a configuration; older ones compare less.
 *
 * The operator's version comes first: it survives a restore of the store, whose revisions do not.
 */
struct config_id {
    /*! @brief Version assigned by the operator; 0 before the first configuration is read. */
    std::uint64_t version{};
    /*! @brief Position of the configuration's last change in the platform's store. */
    store_position position{};

    // NOLINTNEXTLINE(modernize-use-nullptr): the check mistakes the generated comparison with zero for a null pointer.
    friend constexpr auto operator<=>(const config_id&, const config_id&) noexcept = default;
};

/*! @brief Routing configuration; replaced as a whole. */
struct routing_config {
    config_id id{};
    std::vector<route> routes{};
    std::vector<service_config> services{};
    caller_limits limits{};
    /*! @brief Teams; without any, requests need no API key. */
    std::vector<team_config> teams{};

    /*! @brief Returns whether this is a configuration that was read, not the empty one of an instance that just
     * started. */
    [[nodiscard]] bool loaded() const noexcept { return this->id.position.revision != 0U; }

    friend bool operator==(const routing_config&, const routing_config&) = default;
};

} // namespace mangopulley
