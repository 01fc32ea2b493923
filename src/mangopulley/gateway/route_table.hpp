#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

#include "routing_config.hpp"

namespace mangopulley {

/**
 * @brief Finds the route of a request and distributes the requests of a split route over its services.
 *
 * Not thread-safe; used only on the event loop's thread.
 */
class route_table {
public:
    route_table();
    route_table(const route_table&) = delete;
    route_table& operator=(const route_table&) = delete;
    ~route_table();

    /**
     * @brief Activates a configuration.
     * @param config Configuration; ignored unless its id is newer than the active one.
     * @return Whether the configuration was activated.
     */
    bool apply(routing_config config);

    /*! @brief Returns the active configuration; not loaded before the first `apply`. */
    [[nodiscard]] const std::shared_ptr<const routing_config>& current() const noexcept;

    /**
     * @brief Finds the route of a host with the longest prefix that matches the path.
     * @param host Host field of the request, with or without a port; case-insensitive.
     * @param path Request path without the query.
     * @return The route, valid until the next `apply`, or null.
     */
    [[nodiscard]] const route* find(std::string_view host, std::string_view path) const;

    /*! @brief Returns the team that holds an API key, valid until the next `apply`, or null. */
    [[nodiscard]] const team_config* find_team(const key_digest& key) const;

    /**
     * @brief Selects the service for the next request on a route.
     *
     * Smooth weighted round robin: after any number of requests, each service is within one request of its share.
     *
     * @param selected Route of this table.
     * @return Service name; empty if no service of the route has a positive weight.
     */
    [[nodiscard]] std::string_view next_service(const route& selected);
    /*! @brief Returns the service that `next_service` would select, without counting a request. */
    [[nodiscard]] std::string_view preview_service(const route& selected) const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
