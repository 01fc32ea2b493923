#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "../loop/event_loop.hpp"
#include "channel_pool.hpp"
#include "service_queues.hpp"
#include "transaction.hpp"

namespace mangopulley::internal {

/**
 * @brief Attempts of non-idempotent requests whose callers no longer wait, left to finish at their targets.
 *
 * The connection stays open until the response arrives or the timeout expires, so that a late response cannot be
 * matched to another request. The target's slot counts as occupied until then.
 */
class abandoned_attempts {
public:
    /*! @brief Dependencies; all must outlive this object. */
    struct dependencies {
        event_loop& loop;
        const dialect& wire_dialect;
        service_queues& services;
        channel_pool& channels;
        /*! @brief Time in which a target may finish. */
        duration timeout{};
    };

    explicit abandoned_attempts(const dependencies& deps);
    abandoned_attempts(const abandoned_attempts&) = delete;
    abandoned_attempts& operator=(const abandoned_attempts&) = delete;
    ~abandoned_attempts();

    /*! @brief Takes ownership of an attempt for a service's request. */
    void add(const std::string& service, attempt&& attempt);
    /*! @brief Ends the attempt with this number; does nothing for an unknown number. */
    void complete(std::uint64_t number, exchange_outcome&& outcome);

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley::internal
