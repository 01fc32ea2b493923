#pragma once

#include <functional>
#include <vector>

#include "async_http_server.hpp"
#include "dialect.hpp"
#include "peer_record.hpp"

namespace mangopulley {

/*! @brief Parameters of the address lists sent to callers. */
struct directory_rule {
    /*!
     * @brief Lifetime of an address list at the callers.
     *
     * Short enough that callers stop using a stopping instance before it exits, even those that keep a list three times
     * as long.
     */
    duration list_lifetime{std::chrono::milliseconds{1'300}};
};

/*! @brief Serves the readiness of this instance and the addresses that callers should use. */
class directory_service {
public:
    /*! @brief Dependencies of the service; the dialect must outlive it. */
    struct dependencies {
        const dialect& http_dialect;
        std::function<bool()> ready{};
        /*! @brief Returns the leaders of all zones, in rank order within each. */
        std::function<std::vector<peer_record>()> leaders{};
        /*! @brief Returns the maximum lifetime of an address list that the platform accepts. */
        std::function<duration()> max_address_lifetime{};
        /*! @brief In [0, 1), different for each instance, so that they do not all start with the same addresses. */
        double first_draw{};
    };

    directory_service(dependencies used, const directory_rule& bounds);

    void answer_readiness(http_server_exchange& exchange) const;
    /*! @brief Responds 200 with addresses, 404 to any other request, 503 while no instance is known to be ready. */
    void answer_query(http_server_exchange& exchange);

private:
    dependencies deps;
    directory_rule rule;
    double draw;
};

} // namespace mangopulley
