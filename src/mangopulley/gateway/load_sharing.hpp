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

/*! @brief Constants of the exchange of loads. */
struct load_sharing_rule {
    /*! @brief Changed counts are sent within the zone at this period; a target's answer takes many times longer. */
    duration change_period{std::chrono::milliseconds{4}};
    /*! @brief Period for other zones, whose targets are used only when the own ones are busy: their bytes are priced.
     */
    duration other_zones_period{std::chrono::milliseconds{25}};
    /*! @brief Messages in a second that an instance sends; with more receivers the periods get longer. */
    double most_messages_per_second{1'000.0};
    /*! @brief All counts are sent at this period, which makes up for lost datagrams. */
    duration full_period{std::chrono::milliseconds{250}};
};

/**
 * @brief Tells the other instances that callers are told what this one has in flight, and learns theirs.
 *
 * Not synchronised; belongs to the loop's thread.
 */
class load_sharing {
public:
    /*! @brief Ways to the other parts of the process. */
    struct outlets {
        std::function<std::vector<peer_record>()> leaders{};
        std::function<void(const std::string& ip, const std::string& bytes)> send{};
        /*! @brief Called with a target's key and what the others have in flight there. */
        std::function<void(std::uint32_t key, std::uint32_t remote_in_flight)> foreign_changed{};
        /*! @brief Called with the names of the instances that callers are told when they change. */
        std::function<void(const std::vector<std::string>& names)> named_changed{};
    };

    /**
     * @brief Prepares the exchange; nothing is sent before `start`.
     * @param loop Loop, which must outlive this object.
     * @param bounds Constants.
     * @param own Identity of this instance, which sends itself nothing.
     * @param ways Ways out.
     */
    load_sharing(event_loop& loop, const load_sharing_rule& bounds, instance_identity own, outlets ways);
    load_sharing(const load_sharing&) = delete;
    load_sharing& operator=(const load_sharing&) = delete;
    ~load_sharing();

    void start();
    /*! @brief Notes how many requests of this instance are in flight at a target. */
    void note(std::uint32_t key, std::uint32_t in_flight);
    /*! @brief Takes in a datagram; returns false when it is no message of loads. */
    [[nodiscard]] bool receive(std::string_view ip, std::string_view bytes);
    /*! @brief Returns how many instances callers are told in all zones, which so share the targets; at least 1. */
    [[nodiscard]] std::size_t sharing() const noexcept;
    /*! @brief Returns the part of the requests of all zones that this instance can take among those named, 0 to 1. */
    [[nodiscard]] double own_part() const noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
