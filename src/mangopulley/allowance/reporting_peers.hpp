#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "allowance_report.hpp"
#include "allowance_rule.hpp"

namespace mangopulley {

/*! @brief What this instance knows of its peers' use of one limit. */
struct peer_use {
    /*! @brief Demand of the peers in contact, in requests per second. */
    double demand{};
    /*! @brief Number of peers that this instance does not hear, or that do not hear it, and that may still run. */
    std::size_t silent{};
    /*! @brief Last demand of the silent peers. */
    double silent_demand{};
    /*! @brief Largest demand of all instances that a peer in contact knows of. */
    double largest_known{};
    /*! @brief Sum of the shares of all peers that run or may still run. */
    double shares{};
    /*! @brief Largest sum of the shares of all instances that a peer in contact knows of. */
    double largest_used{};
};

/*! @brief What other instances reported about their demand, and which of them are silent. */
class reporting_peers {
public:
    /**
     * @brief Creates an empty set.
     * @param bounds Times.
     * @param own_name Name under which the peers know this instance.
     */
    reporting_peers(const allowance_rule& bounds, std::string_view own_name) noexcept;

    /*! @brief Returns the hash of an instance's name, as in reports. */
    [[nodiscard]] static std::uint32_t hash_of_name(std::string_view name) noexcept;

    /*! @brief Sets the number of instances that should report, this one included. */
    void expect(std::size_t instances) noexcept { this->expected = instances; }
    void receive(std::string_view sender, const allowance_report& report, time_point now);
    /*! @brief Forgets peers that have been silent for long. */
    void expire(time_point now);

    /*! @brief Returns the use of the limit whose key has this hash. */
    [[nodiscard]] peer_use use_of(std::uint32_t key, time_point now) const;
    /*! @brief Returns the number of peers that this instance hears and that hear it. */
    [[nodiscard]] std::size_t in_contact(time_point now) const;
    /*! @brief Returns the number of peers that run or may still run. */
    [[nodiscard]] std::size_t reserved(time_point now) const;
    /*! @brief Returns whether the last reports of all peers in contact are fresh. */
    [[nodiscard]] bool fresh(time_point now) const;
    /*! @brief Returns whether this instance has contact to more than half of all instances; of two halves that are cut
     * from each other, neither may use the other's shares. */
    [[nodiscard]] bool in_majority(time_point now) const;
    /*! @brief Returns whether this instance has had no contact to more than half of all instances for so long that the
     * others may use its share. */
    [[nodiscard]] bool isolated(time_point now);
    /*! @brief Returns the hashes of all keys for which a peer reported demand. */
    [[nodiscard]] std::vector<std::uint32_t> keys(time_point now) const;
    /*! @brief Returns the names of the peers that this instance hears. */
    [[nodiscard]] std::vector<std::string> heard(time_point now) const;

private:
    struct peer {
        /*! @brief Hash of its name. */
        std::uint32_t hash{};
        std::uint64_t incarnation{};
        time_point last_heard{};
        /*! @brief Last time at which a report of the peer said that it hears this instance. */
        time_point last_heard_us{};
        /*! @brief Last time at which this instance, or a peer in contact, heard it. */
        time_point last_alive{};
        std::unordered_map<std::uint32_t, reported_demand> demands{};
    };

    [[nodiscard]] bool in_contact(const peer& from, time_point now) const noexcept;

    allowance_rule rule;
    std::uint32_t own;
    std::size_t expected{1U};
    std::map<std::string, peer, std::less<>> peers{};
    /*! @brief Last time at which this instance had contact to more than half of all instances. */
    time_point last_in_majority{};
};

} // namespace mangopulley
