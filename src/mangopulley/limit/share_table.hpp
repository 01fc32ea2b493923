#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "../core/fwd.hpp"

namespace mangopulley {

/*! @brief What an instance knows of the demand for one service. */
struct demand_view {
    /*! @brief Requests per second offered to this instance, refused ones included. */
    double own{};
    /*! @brief Requests per second offered to the other live instances, as they last said. */
    double others{};
    /*! @brief Limit of the owner in requests per second; 0 when none was agreed. */
    double limit{};
    /*! @brief Live instances, this one included. */
    std::size_t instances{1U};
    /*! @brief Whether this instance is in contact with others or the store. */
    bool standing{};
};

/**
 * @brief This instance's shares of the owners' limits.
 *
 * Below the limit an instance may use what the others leave; above it the instances share the limit by their demands. A
 * refusal is therefore true as far as the last heartbeats tell. While demand moves, the sum of the shares exceeds the
 * limit by what was moved, until the heartbeats have spread the change. Thread-safe.
 */
class share_table {
public:
    share_table();
    share_table(const share_table&) = delete;
    share_table& operator=(const share_table&) = delete;
    ~share_table();

    /**
     * @brief Takes note of the demand for a service; called at every heartbeat tick.
     * @param service Name of the service.
     * @param view What is known now.
     */
    void update(std::string_view service, const demand_view& view);

    /*! @brief Drops all shares to zero until the next update, for an instance that was paused. */
    void drop_all();

    /*! @brief Returns the share of a service's limits, from 0 to 1. */
    [[nodiscard]] double share(std::string_view service) const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
