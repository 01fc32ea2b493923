#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

#include "routing_config.hpp"

namespace mangopulley {

/**
 * @brief Finds the route of a request and shares its requests among the parts of a split.
 *
 * Not synchronised; belongs to the loop's thread.
 */
class route_table {
public:
    route_table();
    route_table(const route_table&) = delete;
    route_table& operator=(const route_table&) = delete;
    ~route_table();

    /**
     * @brief Puts a configuration in force.
     * @param config Configuration; one of an older revision than the present one is ignored.
     * @return Whether it is in force now.
     */
    bool apply(routing_config config);

    /*! @brief Returns the configuration in force; its revision is 0 before the first one. */
    [[nodiscard]] const std::shared_ptr<const routing_config>& current() const noexcept;

    /**
     * @brief Finds the route with the longest prefix that begins the path.
     * @param host Host field of the request, with or without a port; case does not matter.
     * @param path Path of the request without its query.
     * @return The route, valid until the next `apply`, or null.
     */
    [[nodiscard]] const route* find(std::string_view host, std::string_view path) const;

    /**
     * @brief Chooses the service of the next request on a route.
     *
     * Smooth weighted round robin: after any number of requests each part is within one request of its share.
     *
     * @param selected Route of this table.
     * @return The service; empty when the route has no part with a positive weight.
     */
    [[nodiscard]] std::string_view next_service(const route& selected);

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
