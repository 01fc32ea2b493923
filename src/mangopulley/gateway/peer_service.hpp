#pragma once

#include <functional>
#include <string>
#include <vector>

#include "caller_port.hpp"
#include "peer_record.hpp"
#include "platform_follower.hpp"

namespace mangopulley {

/*! @brief Hands other instances the documents that this one holds. */
class peer_service {
public:
    /**
     * @brief Prepares the answers.
     * @param documents Holder of configuration and targets, which must outlive this object.
     * @param instances Returns the instances known, this one included.
     */
    peer_service(const platform_follower& documents, std::function<std::vector<known_instance>()> instances);

    /*! @brief Answers 200 with a document in MessagePack, or 404 when this instance does not hold it. */
    void answer(caller_exchange& exchange) const;

private:
    /*! @brief Returns the changes since the list that the asking instance holds, or else the whole list. */
    [[nodiscard]] std::string targets_for(const http_request& request) const;

    const platform_follower& follower;
    std::function<std::vector<known_instance>()> known;
};

} // namespace mangopulley
