#pragma once

#include <string>

#include "../http/http_channel.hpp"
#include "../observe/decision_log.hpp"
#include "../observe/metrics.hpp"
#include "channel_pool.hpp"
#include "dialect.hpp"
#include "transaction.hpp"

namespace mangopulley::internal {

/*! @brief Sends attempts to their targets and keeps responses to other requests from them. */
class attempt_sender {
public:
    /*! @brief Dependencies; all must outlive this object and the channels of all attempts. */
    struct dependencies {
        const dialect& wire_dialect;
        channel_pool& channels;
        metrics& metric_sink;
        decision_log& log;
    };

    explicit attempt_sender(const dependencies& references) noexcept : deps{references} {}

    /*! @brief Gives an attempt a connection to its target, and notes both in the transaction. */
    void connect(transaction& owner, attempt& next) const;
    /**
     * @brief Sends the request, or as much of it as is held, on the connection of an attempt.
     * @param owner Transaction of the request.
     * @param next Attempt with its connection.
     * @param done Called once with the outcome, never before this function returns.
     */
    void send(const transaction& owner, const attempt& next, http_channel::completion done) const;

private:
    /*! @brief Returns whether a response belongs to the request with this id; logs one that does not. */
    [[nodiscard]] bool accept_or_discard(const http_response& response, const std::string& id, bool reused,
                                         const listed_target& target) const;

    dependencies deps;
};

} // namespace mangopulley::internal
