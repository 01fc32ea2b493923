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

/*! @brief Constants of the membership among instances. */
struct fleet_rule {
    /*! @brief Fewest leading instances of a zone; they alone send heartbeats to all, and callers are told some. */
    std::size_t leaders_per_zone{3U};
    duration heartbeat_period{std::chrono::milliseconds{400}};
    /*! @brief A leader that was not heard from for this long is replaced. */
    duration live_for{std::chrono::milliseconds{1'300}};
    /*! @brief Other instances introduce themselves to the leaders at this period. */
    duration introduction_period{std::chrono::seconds{5}};
    /*! @brief An instance that was not heard from for this long is forgotten. */
    duration known_for{std::chrono::seconds{60}};
};

/**
 * @brief Instances that this one knows of, and the leading ones of each zone.
 *
 * Every instance introduces itself to all others when it starts and when its readiness changes. From then on only the
 * leaders of each zone send heartbeats, so that messages grow with the number of instances, not with its square. The
 * leaders are the ready instances with the largest processor share, in an order that all instances compute alike; one
 * that falls silent gives way to the next.
 */
class fleet {
public:
    /*! @brief Ways out to other instances. */
    struct outlets {
        std::function<void(const std::string& ip, std::string_view bytes)> send{};
        /*! @brief Fetches the list of instances that another one knows, encoded by `encode_members`. */
        std::function<void(const std::string& ip, std::function<void(std::string&&)> done)> fetch_members{};
    };
    /*! @brief Called with each record heard, whose identity may be empty, and the changes of targets told with it. */
    using listener =
        std::function<void(const std::string& ip, const peer_record& record, std::string_view target_changes)>;

    /**
     * @brief Prepares the membership.
     * @param loop Loop, which must outlive the fleet.
     * @param bounds Constants.
     * @param ways Ways out.
     * @param source Returns what this instance says of itself.
     * @param action Called with what others say.
     */
    fleet(event_loop& loop, const fleet_rule& bounds, outlets ways, std::function<peer_record()> source,
          listener action);
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    ~fleet();

    /*! @brief Replaces the addresses at which other instances are looked for. */
    void set_seeds(std::vector<std::string> ips);
    void start();
    /*! @brief Tells all instances what this one knows now, and what has just changed in the list of targets. */
    void announce(std::string target_changes);
    /*! @brief Introduces this instance to all others, as after a change of its readiness. */
    void introduce();
    /*! @brief Takes in a datagram. */
    void receive(std::string_view ip, std::string_view bytes);

    /*! @brief Returns the leaders of all zones, this instance included where it is one, best first in each zone. */
    [[nodiscard]] std::vector<peer_record> leaders() const;
    /*! @brief Returns the instances known, without this one. */
    [[nodiscard]] std::vector<known_instance> members() const;
    /*! @brief Returns the number of instances that are presumed to run, this one included. */
    [[nodiscard]] std::size_t size() const;
    /*! @brief Returns the place of this instance in the line of readers, from 0. */
    [[nodiscard]] std::size_t place_in_line() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

/*! @brief Instances of equal strength that callers are told together. */
struct naming_group {
    std::vector<peer_record> instances{};
    /*! @brief Requests in a second that the group can take. */
    double strength{};
};

/**
 * @brief Returns the instances of a zone that callers are told.
 *
 * Two are told, so that few instances know the targets from their own requests, or one when all others are much
 * weaker, and more when those cannot take the zone's requests. Callers share their requests evenly among the addresses
 * they are told, so that instances of different strength are told to different callers.
 *
 * @param zone Ready instances of one zone, best first.
 * @return Groups, the strongest first; none only when the zone is empty.
 */
[[nodiscard]] std::vector<naming_group> name_instances(std::span<const peer_record> zone);

/**
 * @brief Chooses the addresses that a caller is told.
 *
 * An address in another zone is named only where the caller's own zone has none.
 *
 * @param leaders Instances that callers may use, best first in each zone.
 * @param region Region of the caller.
 * @param zone Zone of the caller.
 * @param draw Number from 0 to below 1, spread evenly over calls; it decides among the groups by their strength.
 * @return Instances of one group, at least one unless `leaders` is empty.
 */
[[nodiscard]] std::vector<peer_record> choose_instances(std::span<const peer_record> leaders, std::string_view region,
                                                        std::string_view zone, double draw);

} // namespace mangopulley
