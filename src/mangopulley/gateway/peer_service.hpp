#pragma once

#include <functional>
#include <vector>

#include "caller_port.hpp"
#include "peer_record.hpp"
#include "platform_follower.hpp"

namespace mangopulley {

/*! @brief Hands other instances the documents that this one holds: configuration, targets and known instances. */
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
    const platform_follower& follower;
    std::function<std::vector<known_instance>()> known;
};

} // namespace mangopulley
