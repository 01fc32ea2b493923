#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "../http/http_channel.hpp"

namespace mangopulley {

/*! @brief Pool of idle connections to targets; opening a connection takes target time and is charged for. */
class channel_pool {
public:
    /*! @brief Creates an empty pool; the loop must outlive it. */
    explicit channel_pool(event_loop& loop);
    channel_pool(const channel_pool&) = delete;
    channel_pool& operator=(const channel_pool&) = delete;
    ~channel_pool();

    /**
     * @brief Returns the most recently used idle connection to an endpoint, or a new one.
     *
     * A request with an id never gets a connection that has carried the same id. Responses are told apart by the id,
     * and a target may send a copy of one where the next response is due.
     *
     * @param endpoint Target as `ip:port`.
     * @param request_id Id of the request that it is for; empty for a request without one.
     */
    [[nodiscard]] std::unique_ptr<http_channel> take(const std::string& endpoint, std::string_view request_id);
    /*! @brief Returns a connection to the pool; closes it if it cannot carry another request or the pool is full. */
    void release(const std::string& endpoint, std::unique_ptr<http_channel> channel);
    /*! @brief Closes connections that the peer is about to close as idle. */
    void prune();

    /*! @brief Returns the number of connections opened so far. */
    [[nodiscard]] std::size_t opened() const noexcept;
    /*! @brief Returns the number of idle connections. */
    [[nodiscard]] std::size_t idle() const noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
