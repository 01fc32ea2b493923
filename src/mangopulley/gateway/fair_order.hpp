#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <string_view>
#include <vector>

#include "waiting_request.hpp"

namespace mangopulley {

/**
 * @brief Order of the waiting requests of one service.
 *
 * Late requests come after timely ones, then lower priorities after higher ones. Requests that are equal in both are
 * shared fairly between teams by start-time fair queueing: each team has a virtual time that advances with the work of
 * its requests that are sent, and the team with the lowest one is next. A team and priority whose requests are sent
 * much less often than all requests gets its next request sent before all others, whatever its priority. While the
 * requests of at most one team wait, the order is by lateness, priority and latency goal only.
 *
 * Uses no clock of its own. Not thread-safe.
 */
class fair_order {
public:
    using request = std::shared_ptr<waiting_request>;

    /*! @brief Condition of the queue on which the order depends. */
    struct conditions {
        /*! @brief Tells whether a request can no longer meet its latency goal. */
        std::function<bool(const waiting_request& item)> late{};
        /*! @brief Whether the latest goal comes first. */
        bool overloaded{};
    };

    fair_order();
    fair_order(const fair_order&) = delete;
    fair_order& operator=(const fair_order&) = delete;
    fair_order(fair_order&&) noexcept;
    fair_order& operator=(fair_order&&) noexcept;
    ~fair_order();

    /*! @brief Records a request that enters the queue, or is refused instead. */
    void record_arrival(const waiting_request& item, time_point now);
    /*! @brief Records that a request left the queue for a target. */
    void record_sent(const waiting_request& item);
    /*! @brief Sorts the queue, the next request to send first. */
    void arrange(std::vector<request>& queue, const conditions& current);
    /*! @brief Returns how many requests of the queue are sent before one that joins it now. */
    [[nodiscard]] std::size_t ahead_of(const waiting_request& item, std::span<const request> queue) const;
    /*! @brief Returns how many requests of the item's team and priority are to be sent before all others. */
    [[nodiscard]] std::size_t preferred(const waiting_request& item) const;
    /*! @brief Returns the number of teams that are known. */
    [[nodiscard]] std::size_t teams() const noexcept;

    /*! @brief Returns whether requests of two or more teams are in the queue. */
    [[nodiscard]] static bool has_several_teams(std::span<const request> queue) noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
