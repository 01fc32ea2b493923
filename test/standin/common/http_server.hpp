#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <Poco/Net/MessageHeader.h>

#include "event_loop.hpp"

namespace standin {

/*! @brief Request as received. */
struct http_request {
    std::string method{};
    /*! @brief Decoded path without the query. */
    std::string path{};
    std::map<std::string, std::string> query{};
    Poco::Net::MessageHeader headers{};
    std::string body{};
    /*! @brief Port of the server that received it. */
    std::uint16_t port{};

    /*! @brief Returns a numeric query parameter, or the fallback when it is absent or not a number. */
    [[nodiscard]] std::uint64_t number(const std::string& name, std::uint64_t fallback) const;
};

/*! @brief Response to send. */
struct http_response {
    int status{200};
    std::string body{};
    std::string content_type{"application/json"};
    std::vector<std::pair<std::string, std::string>> headers{};
};

/*! @brief Connection of a client; at most one request of it is being handled. */
class http_connection {
public:
    http_connection() = default;
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;
    virtual ~http_connection() = default;

    /*! @brief Sends the response to the current request; nothing happens when the connection was closed. */
    virtual void respond(const http_response& response) = 0;

    /*! @brief Sends bytes as they are, whether or not a request waits for a response. */
    virtual void send(std::string_view bytes) = 0;

    /*! @brief Sends bytes as they are, then closes the connection in order. */
    virtual void send_and_close(std::string bytes) = 0;

    /*! @brief Closes the connection in order. */
    virtual void close() = 0;

    /*! @brief Closes the connection with a reset. */
    virtual void reset() = 0;

    /*! @brief Sets what is called when the connection closes before the response to the current request. */
    virtual void on_closed(std::function<void()> action) = 0;
};

/*! @brief Limits of a server. */
struct http_server_options {
    /*! @brief Connections served at once; further ones wait in the listen queue. */
    std::size_t most_connections{10'000U};
    /*! @brief Time between accepting a connection and reading from it. */
    std::chrono::microseconds accept_delay{0};
};

/*! @brief HTTP/1.1 server on an event loop that lets the handler answer late, wrongly or not at all. */
class http_server {
public:
    using handler = std::function<void(http_request, std::shared_ptr<http_connection>)>;

    /**
     * @brief Starts to listen.
     * @param loop Loop that serves the connections; must outlive the server.
     * @param port Port on 127.0.0.1.
     * @param options Limits.
     * @param action Called for each request in the thread of the loop; answers now or later.
     * @throw std::system_error when the port is taken.
     */
    http_server(event_loop& loop, std::uint16_t port, http_server_options options, handler action);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    /*! @brief Connections accepted since the start. */
    [[nodiscard]] std::uint64_t accepted() const noexcept;
    /*! @brief Connections open now. */
    [[nodiscard]] std::size_t open() const noexcept;
    /*! @brief Closes every connection but one. */
    void close_all_but(const http_connection* kept);

    struct implementation;

private:
    std::unique_ptr<implementation> self;
};

/*! @brief Returns head and body of a response as sent on a connection that is kept or closed afterwards. */
[[nodiscard]] std::string to_bytes(const http_response& response, bool keep_alive);

} // namespace standin
