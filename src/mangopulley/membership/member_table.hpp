#pragma once

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "../core/clock.hpp"
#include "../store/store_client.hpp"
#include "fwd.hpp"
#include "member.hpp"

namespace mangopulley {

/*! @brief Age from which a member is suspect; three heartbeat periods of 500 ms. */
inline constexpr milliseconds suspect_age{1500};
/*! @brief Age from which a member is dead; the design allows 3 s until a service has a new primary. */
inline constexpr milliseconds dead_age{3000};
/*! @brief Age from which a member is removed from the table. */
inline constexpr milliseconds removal_age{60'000};

/**
 * @brief Membership view of this instance: the known entry instances by incarnation, and the platform's instance list.
 *
 * All functions are thread-safe and none blocks on I/O.
 */
class member_table {
public:
    /**
     * @brief Creates a table that contains only this instance.
     * @param time Clock; must outlive the table.
     * @param self Description of this instance; age, uptime and health are ignored.
     */
    member_table(const clock& time, member self);
    member_table(const member_table&) = delete;
    member_table& operator=(const member_table&) = delete;
    ~member_table();

    /*! @brief Returns the description of this instance. */
    [[nodiscard]] member self() const;
    /*! @brief Marks this instance as leaving. */
    void set_leaving();
    /*! @brief Sets whether this instance accepts new requests of callers. */
    void set_serving(bool serving);

    /**
     * @brief Records a message received from the member itself.
     * @param sender Description of the member by itself; its age is ignored.
     * @param at Time at which the description was valid: when the request was sent for a reply, the arrival for a
     * message.
     * @param kind Kind of evidence.
     */
    void record_direct(const member& sender, time_point at, evidence kind);

    /**
     * @brief Merges a full description reported by a peer; its age adds to the time since `at`.
     * @param reported Description with `age` and `uptime` as known to the reporting peer.
     * @param at Time at which the report was valid.
     * @param kind Kind of evidence.
     */
    void merge(const member& reported, time_point at, evidence kind);

    /**
     * @brief Merges member digests reported by a peer.
     * @param digests Digests.
     * @param at Time at which the digests were valid.
     * @param kind Kind of evidence.
     * @return Short ids of members that are not dead by their digests, and that the table does not contain.
     */
    std::vector<std::uint32_t> merge_digests(std::span<const member_digest> digests, time_point at, evidence kind);

    /**
     * @brief Selects digests to send: three quarters are those with the lowest age, the rest rotates through the
     * others.
     * @param count Largest number of digests.
     * @return Digests of members whose contact is proved by replies, with the age of that proof.
     */
    [[nodiscard]] std::vector<member_digest> digests_to_send(std::size_t count);

    /*! @brief Returns this instance and the members with the given short ids; all members if no id is given. */
    [[nodiscard]] std::vector<member> members_matching(std::span<const std::uint32_t> short_ids) const;

    /**
     * @brief Replaces the platform list if the new one has a higher revision.
     * @param list The list.
     * @return Whether the list was replaced.
     */
    bool set_instances(instance_list list);
    /*! @brief Returns the current platform list; its revision is 0 until the first list arrives. */
    [[nodiscard]] std::shared_ptr<const instance_list> instances() const;
    /*! @brief Returns the targets of a service in the platform list; empty for an unknown service. */
    [[nodiscard]] std::shared_ptr<const std::vector<instance_record>> targets_of(std::string_view service) const;

    /*! @brief Returns all members, dead ones and this instance included. */
    [[nodiscard]] std::vector<member> members() const;
    /*! @brief Returns the members that are not dead, this instance included. */
    [[nodiscard]] std::vector<member> live() const;
    /*! @brief Returns the member with the given incarnation; empty if the table does not contain it. */
    [[nodiscard]] std::optional<member> find(incarnation_id incarnation) const;
    /*! @brief Returns peer endpoints of listed or previously live instances that are dead or unknown now; for periodic
     * probes. */
    [[nodiscard]] std::vector<std::string> candidates() const;

    /**
     * @brief Counts the known instances and those whose contact is proved by replies.
     * @param since Replies to requests sent before this time do not count.
     * @return The counts; both are 0 before the first platform list.
     */
    [[nodiscard]] contact_counts contacts(time_point since) const;

    /*! @brief Returns a JSON snapshot for the state dump. */
    [[nodiscard]] std::string describe() const;

private:
    struct implementation;
    std::unique_ptr<implementation> state;
};

} // namespace mangopulley
