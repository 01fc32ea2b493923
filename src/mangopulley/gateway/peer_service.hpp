#pragma once

#include <functional>
#include <string>
#include <vector>

#include "async_http_server.hpp"
#include "peer_record.hpp"
#include "platform_follower.hpp"

namespace mangopulley {

/*! @brief Serves the documents of this instance to other instances. */
class peer_service {
public:
    /**
     * @brief Constructs the service.
     * @param documents Source of the configuration and the targets; must outlive this object.
     * @param instances Returns the known instances, including this one.
     */
    peer_service(const platform_follower& documents, std::function<std::vector<known_instance>()> instances);

    /*! @brief Responds 200 with a document in MessagePack, or 404 if this instance does not have it. */
    void answer(http_server_exchange& exchange) const;

private:
    /*! @brief Returns the changes since the list identified by `since`, or the full list if they are unavailable. */
    [[nodiscard]] std::string targets_for(const http_request& request) const;

    const platform_follower& follower;
    std::function<std::vector<known_instance>()> known;
};

} // namespace mangopulley
