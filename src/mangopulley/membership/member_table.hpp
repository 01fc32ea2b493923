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

/*! @brief Age from which a member is suspected; about three heartbeat periods of 500 ms. */
inline constexpr milliseconds suspect_age{1500};
/*! @brief Age from which a member counts as dead; the design allows a service 3 s to get a new lead. */
inline constexpr milliseconds dead_age{3000};
/*! @brief Age from which a member is removed from the table. */
inline constexpr milliseconds forgotten_age{60'000};

/**
 * @brief Entry instances by incarnation with the age of what is known of them, and the platform's instance list.
 *
 * All functions can be called from any thread. No function blocks on I/O.
 */
class member_table {
public:
    /**
     * @brief Makes a table that holds only this instance.
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
    /*! @brief States whether this instance takes new requests of callers. */
    void set_serving(bool serving);

    /**
     * @brief Records a message that came from the member itself.
     * @param sender The member's description of itself.
     * @param at Time to which the description belongs: of sending for a reply, of arrival for a message.
     * @param how Kind of evidence.
     */
    void heard(const member& sender, time_point at, evidence how);

    /**
     * @brief Merges a full second-hand description; its age adds to the time since `at`.
     * @param reported Description with `age` and `uptime` as the reporter knows them.
     * @param at Time to which the report belongs.
     * @param how Kind of evidence.
     */
    void merge(const member& reported, time_point at, evidence how);

    /**
     * @brief Merges second-hand ages.
     * @param ages Reports.
     * @param at Time to which the reports belong.
     * @param how Kind of evidence.
     * @return Prefixes of members that the table does not hold.
     */
    std::vector<std::uint32_t> merge_ages(std::span<const member_age> ages, time_point at, evidence how);

    /**
     * @brief Chooses ages to report: three quarters of them the youngest, the rest in rotation.
     * @param count Largest number of reports.
     * @return Reports with ages that replies prove.
     */
    [[nodiscard]] std::vector<member_age> ages_to_report(std::size_t count);

    /*! @brief Returns the descriptions with the given prefixes, or all when there are none; this instance included. */
    [[nodiscard]] std::vector<member> described(std::span<const std::uint32_t> prefixes) const;

    /**
     * @brief Takes over a platform list with a higher revision.
     * @param list The list.
     * @return Whether it is now in use.
     */
    bool set_instances(instance_list list);
    /*! @brief Returns the platform list in use; revision 0 before the first. */
    [[nodiscard]] std::shared_ptr<const instance_list> instances() const;
    /*! @brief Returns the targets of a service in the platform list; empty for an unknown service. */
    [[nodiscard]] std::shared_ptr<const std::vector<instance_record>> targets_of(std::string_view service) const;

    /*! @brief Returns all members, dead ones and this instance included. */
    [[nodiscard]] std::vector<member> members() const;
    /*! @brief Returns the members that are not dead, this instance included. */
    [[nodiscard]] std::vector<member> live() const;
    /*! @brief Returns the member with that incarnation while the table holds it. */
    [[nodiscard]] std::optional<member> find(incarnation_id incarnation) const;
    /*! @brief Returns endpoints of listed or formerly heard instances that are not live, to be contacted now and then.
     */
    [[nodiscard]] std::vector<std::string> candidates() const;

    /**
     * @brief Counts the instances known and those that replies prove to be in contact.
     * @param since Proof older than this does not count.
     * @return The counts; nothing is known before the first platform list.
     */
    [[nodiscard]] contact_counts contacts(time_point since) const;

    /*! @brief Returns a JSON snapshot for the state dump. */
    [[nodiscard]] std::string describe() const;

private:
    struct implementation;
    std::unique_ptr<implementation> state;
};

} // namespace mangopulley
