#pragma once

#include <functional>
#include <memory>
#include <string>

#include "../loop/event_loop.hpp"

namespace mangopulley {

/*! @brief Fetches documents from other instances over HTTP. */
class peer_fetcher {
public:
    using completion = std::function<void(std::string&& bytes)>;

    /*! @brief Constructs the fetcher; the loop must outlive it. */
    peer_fetcher(event_loop& loop, std::uint16_t port, duration timeout);
    peer_fetcher(const peer_fetcher&) = delete;
    peer_fetcher& operator=(const peer_fetcher&) = delete;
    ~peer_fetcher();

    /**
     * @brief Fetches one document.
     * @param ip IP address of the instance to fetch from.
     * @param path Path of the document.
     * @param done Called exactly once, after this call returns; receives no bytes if the fetch failed.
     */
    void fetch(const std::string& ip, const std::string& path, completion done);

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
