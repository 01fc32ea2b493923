#pragma once

#include <functional>
#include <vector>

#include "async_http_server.hpp"
#include "dialect.hpp"
#include "peer_record.hpp"

namespace mangopulley {

/*! @brief Constants of the addresses that callers are told. */
struct directory_rule {
    /*!
     * @brief How long callers may keep the addresses.
     *
     * Short enough that callers leave a stopping instance before it ends, also those that keep a list three times as
     * long.
     */
    duration list_lifetime{std::chrono::milliseconds{1'300}};
};

/*! @brief Answers whether this instance is ready, and which addresses a caller uses. */
class directory_service {
public:
    /*! @brief What the answers are made of. */
    struct parts {
        const dialect& wire_dialect;
        std::function<bool()> ready{};
        /*! @brief Returns the leaders of all zones, best first in each. */
        std::function<std::vector<peer_record>()> leaders{};
        /*! @brief Returns the longest lifetime that the platform accepts. */
        std::function<duration()> longest_lifetime{};
        /*! @brief From 0 to below 1, different for each instance, so that not all tell their callers the same first. */
        double first_draw{};
    };

    directory_service(parts used, const directory_rule& bounds);

    void answer_readiness(caller_exchange& exchange) const;
    /*! @brief Answers 200 with addresses, 404 to another question, 503 while no instance is known to be ready. */
    void answer_query(caller_exchange& exchange);

private:
    parts environment;
    directory_rule rule;
    double draw;
};

} // namespace mangopulley
