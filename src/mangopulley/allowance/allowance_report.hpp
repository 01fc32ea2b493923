#pragma once

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mangopulley {

/*! @brief Demand for one limit. */
struct reported_demand {
    /*! @brief Hash of the limit's key. */
    std::uint32_t key{};
    /*! @brief Requests per second at the sender. */
    double own{};
    /*! @brief Requests per second at the sender and at all its peers that run or may still run. */
    double known{};
    /*! @brief Share of the limit that the sender uses, from 0 to 1. */
    double share{};
    /*! @brief Sum of the shares that the sender and its peers use, as far as it knows. */
    double used{};
};

/*! @brief Demand of one instance, sent to the other instances that serve callers. */
struct allowance_report {
    std::uint64_t incarnation{};
    /*! @brief Whether the sender ends or serves no callers any more; its share is free at once. */
    bool leaving{};
    /*! @brief Hashes of the names of the peers that the sender hears. */
    std::vector<std::uint32_t> heard{};
    /*! @brief Whether only limits that are nearly used up are listed, so that nothing is known of the others. */
    bool partial{};
    /*! @brief Hashes of keys that this report covers; there is no demand for one in between that is not listed. */
    std::uint32_t first_key{};
    std::uint32_t last_key{std::numeric_limits<std::uint32_t>::max()};
    std::vector<reported_demand> demands{};
};

[[nodiscard]] std::string encode_report(const allowance_report& report);
/*! @brief Decodes a report; nothing if the bytes are none. */
[[nodiscard]] std::optional<allowance_report> decode_report(std::string_view bytes);

} // namespace mangopulley
