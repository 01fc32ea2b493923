#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "../catalogue/catalogue_holder.hpp"
#include "../core/clock.hpp"
#include "../membership/drain_notices.hpp"
#include "../membership/member_table.hpp"
#include "../target/target_client.hpp"
#include "service_runtime.hpp"

namespace mangopulley {

/*! @brief The running parts of all services in the catalogue. Thread-safe. */
class service_table {
public:
    /*! @brief Parts that the table works with; all must outlive it. */
    struct parts {
        const clock& time;
        const catalogue_holder& catalogue;
        const member_table& members;
        const drain_notices& draining;
        target_client& targets;
        cancel_pool& cancellations;
    };

    /**
     * @brief Prepares an empty table.
     * @param environment Parts.
     * @param listener Called with the id of a target that says that it drains.
     */
    service_table(const parts& environment, dispatcher::draining_listener listener);
    service_table(const service_table&) = delete;
    service_table& operator=(const service_table&) = delete;
    ~service_table();

    /*! @brief Takes over a new catalogue, instance list and drain notices; cheap when nothing has changed. */
    void refresh();

    /*! @brief Returns the running parts of a service, or null when the catalogue has no such service. */
    [[nodiscard]] std::shared_ptr<service_runtime> find(std::string_view service) const;

    /*! @brief Returns the running parts of all services. */
    [[nodiscard]] std::vector<std::shared_ptr<service_runtime>> all() const;

    /*! @brief Fails all waiting and later requests. */
    void stop() noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
