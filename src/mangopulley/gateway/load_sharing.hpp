#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "../loop/event_loop.hpp"
#include "peer_record.hpp"

namespace mangopulley {

/*! @brief Parameters of the load exchange between instances. */
struct load_sharing_rule {
    /*! @brief Period at which changed counts are sent within the zone; a target's response takes many times longer. */
    duration change_period{std::chrono::milliseconds{4}};
    /*! @brief Period for other zones; longer, because bytes between zones are priced and the targets of other zones are
     * used only when the own ones are busy. */
    duration other_zones_period{std::chrono::milliseconds{25}};
    /*! @brief Maximum messages per second sent by an instance; more receivers lengthen the periods. */
    double max_messages_per_second{1'000.0};
    /*! @brief Period at which all counts are sent, to recover from lost datagrams. */
    duration full_period{std::chrono::milliseconds{250}};
};

/**
 * @brief Exchanges the numbers of in-flight requests with the other advertised instances.
 *
 * Not thread-safe; use only on the loop's thread.
 */
class load_sharing {
public:
    /*! @brief Callbacks into the rest of the process. */
    struct callbacks {
        std::function<std::vector<peer_record>()> leaders{};
        std::function<void(const std::string& ip, const std::string& bytes)> send{};
        /*! @brief Called with a target's key and the number of requests that other instances have in flight there. */
        std::function<void(std::uint32_t key, std::uint32_t remote)> remote_changed{};
        /*! @brief Called with the advertised instances when they change. */
        std::function<void(const std::vector<instance_identity>& instances)> advertised_changed{};
    };

    /**
     * @brief Constructs the exchange; nothing is sent before `start`.
     * @param loop Loop, which must outlive this object.
     * @param bounds Parameters of the exchange.
     * @param own Identity of this instance, which is excluded from the receivers.
     * @param hooks Callbacks into the rest of the process.
     */
    load_sharing(event_loop& loop, const load_sharing_rule& bounds, instance_identity own, callbacks hooks);
    load_sharing(const load_sharing&) = delete;
    load_sharing& operator=(const load_sharing&) = delete;
    ~load_sharing();

    void start();
    /*! @brief Records how many requests of this instance are in flight at a target. */
    void record_in_flight(std::uint32_t key, std::uint32_t in_flight);
    /*! @brief Processes a datagram; returns false if it is not a load message. */
    [[nodiscard]] bool receive(std::string_view ip, std::string_view bytes);
    /*! @brief Returns the advertised instances of all zones, including this one if it is advertised. */
    [[nodiscard]] const std::vector<instance_identity>& advertised() const noexcept;
    /*! @brief Returns the number of advertised instances in all zones, which share the targets; at least 1. */
    [[nodiscard]] std::size_t advertised_count() const noexcept;
    /*! @brief Returns this instance's share of the capacity of all advertised instances, 0 to 1. */
    [[nodiscard]] double own_share() const noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
