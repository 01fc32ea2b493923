#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "../core/fwd.hpp"

namespace mangopulley {

/*! @brief Demand for one service as this instance knows it. */
struct demand_view {
    /*! @brief Requests per second offered to this instance, refused ones included. */
    double own{};
    /*! @brief Requests per second offered to the other live instances, from their last heartbeats. */
    double others{};
    /*! @brief Limit of the owner in requests per second; 0 when there is none. */
    double limit{};
    /*! @brief Live instances, this one included. */
    std::size_t instances{1U};
    /*! @brief Whether this instance is in contact with others or the store. */
    bool in_contact{};
};

/**
 * @brief This instance's shares of the owners' limits.
 *
 * While total demand is below the limit, an instance may use whatever the others leave; above it the limit is split in
 * proportion to demand. A refusal is therefore justified by the demand in the last heartbeats. When demand moves
 * between instances, the shares exceed the limit by the moved amount until heartbeats have spread the change.
 * Thread-safe.
 */
class share_table {
public:
    share_table();
    share_table(const share_table&) = delete;
    share_table& operator=(const share_table&) = delete;
    ~share_table();

    /**
     * @brief Recomputes the share of a service from its demand; called at every heartbeat tick.
     * @param service Name of the service.
     * @param view Current demand.
     */
    void update(std::string_view service, const demand_view& view);

    /*! @brief Sets all shares to zero until the next update, after this process was paused. */
    void drop_all();

    /*! @brief Returns the share of a service's limits, from 0 to 1. */
    [[nodiscard]] double share(std::string_view service) const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
