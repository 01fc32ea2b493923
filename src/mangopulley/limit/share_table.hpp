#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "../core/clock.hpp"
#include "../core/fwd.hpp"

namespace mangopulley {

/*! @brief What an instance knows of the demand for one service. */
struct demand_view {
    /*! @brief Requests per second at this instance. */
    double own{};
    /*! @brief Requests per second at all live instances, this one included. */
    double total{};
    /*! @brief Live instances, this one included. */
    std::size_t instances{1U};
    /*! @brief Whether this instance is in contact with others or the store. */
    bool standing{};
};

/**
 * @brief This instance's shares of the owners' limits.
 *
 * The shares of all instances add up to the limit as long as they agree on the demands. While they disagree, an
 * instance shrinks its share at once and grows it only after 3 s, by when the others have heard of the change and have
 * shrunk theirs. Thread-safe.
 */
class share_table {
public:
    /*! @brief Prepares a table without services; the clock must outlive it. */
    explicit share_table(const clock& time);
    share_table(const share_table&) = delete;
    share_table& operator=(const share_table&) = delete;
    ~share_table();

    /**
     * @brief Takes note of the demand for a service; called at every heartbeat tick.
     * @param service Name of the service.
     * @param view What is known now.
     */
    void update(std::string_view service, const demand_view& view);

    /*! @brief Drops all shares to zero, for an instance that was paused; they grow again as after a start. */
    void drop_all();

    /*! @brief Returns the share of a service's limits, from 0 to 1. */
    [[nodiscard]] double share(std::string_view service) const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
