#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "../core/fwd.hpp"

namespace mangopulley {

/*! @brief Service that receives a share of a route's requests. */
struct split_part {
    std::string service{};
    /*! @brief Share relative to the weights of the other parts. */
    double weight{1.0};

    friend bool operator==(const split_part&, const split_part&) = default;
};

/*! @brief Requests that one host and path prefix select, and how they are handled. */
struct route {
    std::string name{};
    std::string host{};
    /*! @brief Begins and ends with a slash. */
    std::string prefix{};
    bool idempotent{};
    /*! @brief Longest time that a caller is kept waiting. */
    duration time_limit{};
    /*! @brief Time within which an answer earns its full worth. */
    duration latency_goal{};
    /*! @brief Rank; 0 is the highest. */
    std::uint32_t priority{};
    /*! @brief Most targets that one request may be sent to. */
    std::uint32_t attempts{1};
    std::vector<split_part> parts{};

    friend bool operator==(const route&, const route&) = default;
};

/*! @brief Service that routes lead to. */
struct service_record {
    std::string name{};
    std::string health_path{};
    /*! @brief Connections that one target accepts from all instances together. */
    std::uint32_t most_connections{};

    friend bool operator==(const service_record&, const service_record&) = default;
};

/*! @brief Bounds of what a caller may send and how long it may take. */
struct caller_limits {
    std::size_t head_bytes{16'384U};
    std::size_t body_bytes{1'048'576U};
    duration head_time{std::chrono::seconds{3}};
    duration idle_time{std::chrono::seconds{15}};

    friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

/*! @brief Routing configuration in force; replaced as a whole. */
struct routing_config {
    /*! @brief Version that the operator gave it. */
    std::uint64_t version{};
    /*! @brief Revision under which the platform stores it; 0 when there is none yet. */
    std::uint64_t revision{};
    std::vector<route> routes{};
    std::vector<service_record> services{};
    caller_limits limits{};

    friend bool operator==(const routing_config&, const routing_config&) = default;
};

} // namespace mangopulley
