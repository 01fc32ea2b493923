#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "../core/kernel.hpp"
#include "http_message.hpp"

namespace mangopulley {

/**
 * @brief HTTP/1.1 server: one thread collects requests from all connections, a pool of workers answers them.
 *
 * A worker is taken only once a request has arrived whole and is given back before a slow caller has read the reply, so
 * that slow, idle or malformed connections hold no worker. Requests with GET have workers of their own: they are quick
 * and must be answered also while all other workers wait for targets.
 */
class http_server final : public plugin {
public:
    using handler = std::function<http_reply(http_request&& request)>;

    /**
     * @brief Prepares the server.
     * @param label Name for logs and the state dump.
     * @param address Address to listen on, `ip:port`.
     * @param workers Threads for requests other than GET.
     * @param limits Bounds of what one connection may cost.
     * @param action Answers one request; called from several threads; must not throw.
     */
    http_server(std::string label, std::string address, std::size_t workers, const http_limits& limits, handler action);
    ~http_server() override;

    [[nodiscard]] std::string_view name() const noexcept override;
    void start() override;
    /*! @brief Accepts no further requests, answers those received, and ends. */
    void stop() noexcept override;

    /*! @brief Numbers for the state dump. */
    struct statistics {
        std::size_t connections{};
        std::size_t waiting{};
        std::size_t in_progress{};
        std::uint64_t accepted{};
        std::uint64_t rejected{};
    };
    [[nodiscard]] statistics numbers() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
