#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "../loop/event_loop.hpp"
#include "channel_pool.hpp"
#include "service_lines.hpp"
#include "transaction.hpp"

namespace mangopulley::internal {

/**
 * @brief Sends of non-idempotent requests whose callers are gone, and whose targets may finish.
 *
 * The connection stays open until the answer has come or the time is over, so that its late answer meets no other
 * request, and the target's slot counts as taken meanwhile.
 */
class abandoned_sends {
public:
    /*! @brief Parts that are used; all must outlive this object. */
    struct parts {
        event_loop& loop;
        const dialect& speech;
        service_lines& lines;
        channel_pool& channels;
        /*! @brief Time in which a target may finish. */
        duration longest{};
    };

    explicit abandoned_sends(const parts& used);
    abandoned_sends(const abandoned_sends&) = delete;
    abandoned_sends& operator=(const abandoned_sends&) = delete;
    ~abandoned_sends();

    /*! @brief Takes over a send of a service's request. */
    void keep(const std::string& service, attempt&& sent);
    /*! @brief Ends a send by the number of its attempt; nothing happens when it is not kept here. */
    void settle(std::uint64_t number, exchange_outcome&& outcome);

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley::internal
