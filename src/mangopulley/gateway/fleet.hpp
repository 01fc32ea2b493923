#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "../loop/event_loop.hpp"
#include "peer_record.hpp"

namespace mangopulley {

/*! @brief Constants of the membership among instances. */
struct fleet_rule {
    duration heartbeat_period{std::chrono::milliseconds{300}};
    /*! @brief An instance that was not heard from for this long is not named to callers. */
    duration live_for{std::chrono::milliseconds{1'100}};
    /*! @brief An instance that was not heard from for this long is forgotten. */
    duration known_for{std::chrono::seconds{30}};
};

/*! @brief Another instance and when it was heard from last. */
struct peer {
    peer_record record{};
    time_point heard{};
};

/**
 * @brief Instances that this one hears from, by heartbeats in datagrams.
 *
 * Instances find each other through the seeds of their settings and through the addresses in each other's heartbeats.
 * Decides without a network of its own: heartbeats are sent through the given function.
 */
class fleet {
public:
    /*! @brief Sends bytes to the instance with that IP address. */
    using sender = std::function<void(const std::string& ip, std::string_view bytes)>;
    /*! @brief Called with each heartbeat taken in. */
    using listener = std::function<void(const peer_record& record)>;

    fleet(event_loop& loop, const fleet_rule& bounds, sender outlet, listener action);
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    ~fleet();

    /*! @brief Replaces the addresses at which other instances are looked for. */
    void set_seeds(std::vector<std::string> ips);
    /*! @brief Replaces what is said in heartbeats; the known addresses are filled in. */
    void set_self(std::function<peer_record()> source);
    /*! @brief Begins to send heartbeats. */
    void start();
    /*! @brief Sends a heartbeat to all known instances now. */
    void announce();
    /*! @brief Takes in a datagram. */
    void receive(std::string_view bytes);

    /*! @brief Returns the instances heard from lately, in the order of their names. */
    [[nodiscard]] std::vector<peer> live() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

/**
 * @brief Chooses the addresses that a caller is told.
 *
 * Few instances per zone see most requests of a host, so that they know its targets from their own requests; another
 * one takes over when one of them is not heard from.
 *
 * @param instances Instances that callers may use, this one included.
 * @param host Host that the caller asks for.
 * @param region Region of the caller.
 * @param zone Zone of the caller.
 * @param most Number of addresses wanted.
 * @return Addresses as `ip:port`, at least one unless `instances` is empty.
 */
[[nodiscard]] std::vector<std::string> choose_addresses(std::span<const peer_record> instances, std::string_view host,
                                                        std::string_view region, std::string_view zone,
                                                        std::size_t most);

} // namespace mangopulley
