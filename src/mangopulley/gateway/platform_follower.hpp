#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "../loop/event_loop.hpp"
#include "../observe/decision_log.hpp"
#include "listed_target.hpp"
#include "peer_record.hpp"
#include "platform_client.hpp"
#include "routing_config.hpp"

namespace mangopulley {

/*! @brief Constants of keeping up with the platform. */
struct follower_rule {
    /*! @brief Age of the target list at which the first instance in line reads it again. */
    duration read_age{std::chrono::milliseconds{1'200}};
    /*! @brief How much older the list may get for each place further down the line. */
    duration age_per_place{std::chrono::milliseconds{100}};
    /*! @brief Age at which every instance reads for itself. */
    duration longest_age{std::chrono::milliseconds{1'550}};
    duration call_timeout{std::chrono::milliseconds{600}};
    /*! @brief Pause after a failed call for the first places in line. */
    duration retry_pause{std::chrono::milliseconds{250}};
    /*! @brief The pause doubles after so many places, up to `longest_pause`: those in front find out for all. */
    std::size_t places_per_doubling{3U};
    duration longest_pause{std::chrono::seconds{4}};
    /*! @brief A gap this long without a list means that the platform was away, and lapsed entries may come back. */
    duration outage{std::chrono::milliseconds{2'500}};
    /*! @brief Time after an outage in which a target missing from the list is still used. */
    duration return_grace{std::chrono::milliseconds{2'300}};
    /*! @brief Changes up to this size are told with the heartbeat, in one datagram; longer ones are fetched. */
    std::size_t most_told_bytes{1'200U};
};

/**
 * @brief Keeps the target list and the routing configuration up to date, by few reads of the platform.
 *
 * The instances stand in a line. The first one reads about once a second and says so in its heartbeat; the others take
 * changes over from it, and read themselves only when what they hold gets too old. Readers that the platform turns
 * away are so replaced without an election, and the calls do not grow with the number of instances.
 */
class platform_follower {
public:
    /*! @brief Parts that the follower uses; all must outlive it. */
    struct parts {
        event_loop& loop;
        platform_client& platform;
        decision_log& log;
        std::uint64_t incarnation{};
        /*! @brief Returns the place of this instance in the line of readers, from 0. */
        std::function<std::size_t()> place{};
        /*! @brief Returns how long a new instance waits for another one to tell it what it would read. */
        std::function<duration()> first_read_delay{};
        /*! @brief Fetches a document from another instance. */
        std::function<void(const std::string& ip, const std::string& path, std::function<void(std::string&&)> done)>
            fetch{};
        /*! @brief Called when something was read, so that others may hear of it, with what changed among the targets.
         */
        std::function<void(std::string target_changes)> announce{};
        std::function<void(const routing_config&)> config_changed{};
        std::function<void(const target_list&)> targets_changed{};
    };

    platform_follower(parts environment, const follower_rule& bounds);
    platform_follower(const platform_follower&) = delete;
    platform_follower& operator=(const platform_follower&) = delete;
    ~platform_follower();

    void start();
    /*! @brief Takes in what another instance says it knows, and the changes of targets that it tells, if any. */
    void hear(const std::string& ip, const peer_record& record, std::string_view target_changes = {});

    /*! @brief Fills in the revisions and ages for a heartbeat. */
    void describe(peer_record& record) const;
    /*! @brief Tells whether both a configuration and a target list are known. */
    [[nodiscard]] bool informed() const noexcept;
    /*! @brief Returns the list as the platform gave it, for other instances. */
    [[nodiscard]] const target_list& listed() const noexcept;
    /*! @brief Returns what changed since the list with a digest, or nothing when that one is not known any more. */
    [[nodiscard]] std::optional<target_changes> changes_since(std::uint64_t former) const;
    [[nodiscard]] const routing_config& config() const noexcept;
    [[nodiscard]] duration targets_age() const noexcept;
    [[nodiscard]] duration config_age() const noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
