#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "../loop/event_loop.hpp"
#include "peer_record.hpp"

namespace mangopulley {

/*! @brief Parameters of the membership protocol between instances. */
struct fleet_rule {
    /*! @brief Minimum leaders per zone. Only leaders send heartbeats to all; some are advertised to callers. */
    std::size_t leaders_per_zone{3U};
    duration heartbeat_period{std::chrono::milliseconds{400}};
    /*! @brief A leader is replaced after this long without a message from it. */
    duration leader_timeout{std::chrono::milliseconds{1'300}};
    /*! @brief Period at which instances that are not leaders introduce themselves to the leaders. */
    duration introduction_period{std::chrono::seconds{5}};
    /*! @brief An instance is removed after this long without a message from it. */
    duration member_timeout{std::chrono::seconds{60}};
};

/**
 * @brief Tracks the known instances and elects the leaders of each zone.
 *
 * Every instance introduces itself to all others when it starts and when its readiness changes. Afterwards only the
 * leaders of each zone send heartbeats, so the number of messages grows linearly with the number of instances instead
 * of quadratically. The leaders are the ready instances with the largest processor share, in an order that every
 * instance computes identically; a silent leader is replaced by the next instance in that order.
 */
class fleet {
public:
    /*! @brief Callbacks that send messages and requests to other instances. */
    struct callbacks {
        std::function<void(const std::string& ip, std::string_view bytes)> send{};
        /*! @brief Fetches the list of instances known to another instance, encoded by `encode_members`. */
        std::function<void(const std::string& ip, std::function<void(std::string&&)> done)> fetch_members{};
    };
    /*! @brief Called with each received record, whose identity may be empty, and the target changes sent with it. */
    using listener =
        std::function<void(const std::string& ip, const peer_record& record, std::string_view target_changes)>;

    /**
     * @brief Constructs the membership; nothing is sent before `start`.
     * @param loop Loop, which must outlive the fleet.
     * @param bounds Parameters of the protocol.
     * @param transport Callbacks that reach other instances.
     * @param source Returns the record that this instance advertises.
     * @param on_message Called for each message from another instance.
     */
    fleet(event_loop& loop, const fleet_rule& bounds, callbacks transport, std::function<peer_record()> source,
          listener on_message);
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    ~fleet();

    /*! @brief Replaces the IP addresses used to discover other instances. */
    void set_seeds(std::vector<std::string> ips);
    void start();
    /*! @brief Sends a heartbeat to all instances, with the latest changes of the target list. */
    void announce(std::string target_changes);
    /*! @brief Introduces this instance to all others, for example after its readiness changed. */
    void introduce();
    /*! @brief Processes a received datagram. */
    void receive(std::string_view ip, std::string_view bytes);

    /*! @brief Returns the leaders of all zones, this instance included if it is one, in rank order in each zone. */
    [[nodiscard]] std::vector<peer_record> leaders() const;
    /*! @brief Returns the known instances, excluding this one. */
    [[nodiscard]] std::vector<known_instance> members() const;
    /*! @brief Returns the number of instances presumed alive, including this one. */
    [[nodiscard]] std::size_t size() const;
    /*! @brief Returns the rank of this instance among the readers of the platform API, from 0. */
    [[nodiscard]] std::size_t reader_rank() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

/*! @brief Instances of equal capacity that are advertised to callers together. */
struct advertised_group {
    std::vector<peer_record> instances{};
    /*! @brief Capacity of the group in requests per second. */
    double capacity{};
};

/**
 * @brief Selects the instances of a zone that are advertised to callers.
 *
 * By default two are advertised, so that requests, and with them the load readings of targets, concentrate on few
 * instances. A single one is advertised if all others have much less capacity, and more than two if two cannot serve
 * the zone's requests. Callers spread their requests evenly over the addresses they receive, so instances of different
 * capacity are advertised to different callers.
 *
 * @param zone Ready instances of one zone in rank order.
 * @return Groups by descending capacity; empty only if the zone is empty.
 */
[[nodiscard]] std::vector<advertised_group> select_advertised(std::span<const peer_record> zone);

/**
 * @brief Chooses the instances advertised to one caller.
 *
 * Instances of another zone are advertised only if the caller's own zone has none.
 *
 * @param leaders Instances that callers may use, in rank order within each zone.
 * @param region Region of the caller.
 * @param zone Zone of the caller.
 * @param draw Number in [0, 1), evenly distributed over calls; selects a group with a probability proportional to its
 * capacity.
 * @return Instances of one group, at least one unless `leaders` is empty.
 */
[[nodiscard]] std::vector<peer_record> choose_instances(std::span<const peer_record> leaders, std::string_view region,
                                                        std::string_view zone, double draw);

} // namespace mangopulley
