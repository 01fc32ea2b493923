#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "../loop/event_loop.hpp"
#include "../observe/decision_log.hpp"
#include "departed_targets.hpp"
#include "listed_target.hpp"
#include "peer_record.hpp"
#include "platform_client.hpp"
#include "routing_config.hpp"

namespace mangopulley {

/*! @brief Parameters for following the documents of the platform. */
struct follower_rule {
    /*! @brief Age of a document at which the instance of rank 0 reads it again. */
    duration read_age{std::chrono::milliseconds{1'200}};
    /*! @brief Additional age allowed for each further rank. */
    duration age_per_rank{std::chrono::milliseconds{100}};
    /*! @brief Age at which every instance reads, whatever its rank. */
    duration max_age{std::chrono::milliseconds{1'550}};
    duration call_timeout{std::chrono::milliseconds{600}};
    /*! @brief Time after which a call is taken for lost whose completion did not come at all. */
    duration lost_call{std::chrono::milliseconds{1'200}};
    /*! @brief Pause after a failed call for the lowest ranks. */
    duration retry_pause{std::chrono::milliseconds{250}};
    /*! @brief The pause doubles every this many ranks, up to `max_retry_pause`; the lowest ranks probe for all
     * instances. */
    std::size_t ranks_per_doubling{3U};
    duration max_retry_pause{std::chrono::seconds{4}};
    /*! @brief A gap of this length between reads counts as an outage of the platform; expired entries may be
     * registered again after it. */
    duration outage{std::chrono::milliseconds{2'500}};
    /*! @brief How long after an outage a target missing from the list is still used. */
    duration return_grace{std::chrono::milliseconds{2'300}};
    /*! @brief How long after a restore of the store its lists may have entries that nobody renews. */
    duration stale_entry_lifetime{std::chrono::seconds{6}};
    /*! @brief Changes up to this size are sent in the heartbeat datagram; larger ones are fetched. */
    std::size_t max_inline_change_bytes{1'200U};
};

/**
 * @brief Keeps the target list and the routing configuration up to date, with few calls to the platform API.
 *
 * The instances are ranked. The instance of rank 0 reads about once a second and announces the read in its heartbeat.
 * The others copy changes from it and read from the platform only when their own copy gets too old. A reader that the
 * platform refuses is thus replaced without an election, and the number of calls does not grow with the number of
 * instances.
 */
class platform_follower {
public:
    /*! @brief Dependencies of the follower; the referenced objects must outlive it. */
    struct dependencies {
        event_loop& loop;
        platform_client& platform;
        decision_log& log;
        std::uint64_t incarnation{};
        /*! @brief Returns the rank of this instance among the readers, from 0. */
        std::function<std::size_t()> rank{};
        /*! @brief Returns how long a new instance waits for documents of another instance before its first read. */
        std::function<duration()> first_read_delay{};
        /*! @brief Fetches a document from another instance. */
        std::function<void(const std::string& ip, const std::string& path, std::function<void(std::string&&)> done)>
            fetch{};
        /*! @brief Called after each successful read to notify other instances, with any target changes. */
        std::function<void(std::string target_changes)> announce{};
        std::function<void(const routing_config&)> config_changed{};
        std::function<void(const target_list&)> targets_changed{};
    };

    platform_follower(dependencies deps, const follower_rule& bounds);
    platform_follower(const platform_follower&) = delete;
    platform_follower& operator=(const platform_follower&) = delete;
    ~platform_follower();

    void start();
    /*! @brief Processes the record of another instance, and the target changes sent with it, if any. */
    void receive(const std::string& ip, const peer_record& record, std::string_view target_changes = {});

    /*! @brief Fills in the revisions and ages for a heartbeat. */
    void describe(peer_record& record) const;
    /*! @brief Returns whether both a configuration and a target list are available. */
    [[nodiscard]] bool initialized() const noexcept;
    /*! @brief Returns the target list as read from the platform, for other instances. */
    [[nodiscard]] const target_list& listed() const noexcept;
    /*! @brief Returns the changes since the list with a digest, or `std::nullopt` if that list is no longer in the
     * history. */
    [[nodiscard]] std::optional<target_changes> changes_since(std::uint64_t previous_digest) const;
    /*! @brief Returns what is excluded since a restore of the store, for instances that started after it. */
    [[nodiscard]] departure_report departed() const;
    [[nodiscard]] const routing_config& config() const noexcept;
    [[nodiscard]] duration targets_age() const noexcept;
    [[nodiscard]] duration config_age() const noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
