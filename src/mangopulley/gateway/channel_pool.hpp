#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "../http/http_channel.hpp"

namespace mangopulley {

/*! @brief Kept connections to targets; a new connection costs the target time and is priced. */
class channel_pool {
public:
    /*! @brief Prepares an empty pool; the loop must outlive it. */
    explicit channel_pool(event_loop& loop);
    channel_pool(const channel_pool&) = delete;
    channel_pool& operator=(const channel_pool&) = delete;
    ~channel_pool();

    /*! @brief Returns the connection to an endpoint that was used last, or a new one. */
    [[nodiscard]] std::unique_ptr<http_channel> take(const std::string& endpoint);
    /*! @brief Keeps a connection for later use if it can carry another request. */
    void give_back(const std::string& endpoint, std::unique_ptr<http_channel> channel);
    /*! @brief Closes connections that the peer is about to close for idling. */
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
