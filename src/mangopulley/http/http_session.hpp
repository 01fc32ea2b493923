#pragma once

#include <memory>
#include <string>
#include <string_view>

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>

#include "../core/fwd.hpp"
#include "fwd.hpp"

namespace mangopulley {

/**
 * @brief One HTTP connection of a client that waits for its answers.
 *
 * It never reconnects or writes a request twice: a request that is not idempotent may run once at most. All functions
 * throw `Poco::Exception` on failure; after one, the session can't be used again.
 */
class http_session {
public:
    /**
     * @brief Opens a connection.
     * @param address Peer as `ip:port`.
     * @param timeout Longest time for opening it and for each write.
     * @return The session.
     */
    [[nodiscard]] static std::unique_ptr<http_session> connect(const std::string& address, milliseconds timeout);

    http_session(const http_session&) = delete;
    http_session& operator=(const http_session&) = delete;
    ~http_session();

    /*! @brief Tells whether the peer has neither closed the idle connection nor sent unexpected bytes. */
    [[nodiscard]] bool usable();

    /*! @brief Bounds the time until `receive` has the whole answer, counted from this call. */
    void limit_receive(milliseconds timeout);

    /**
     * @brief Writes a request.
     * @param request Request line and headers; host and content length must be set.
     * @param body Body.
     */
    void send(const Poco::Net::HTTPRequest& request, std::string_view body);

    /**
     * @brief Reads the next whole answer; interim answers are passed over.
     * @param response Receives status and headers.
     * @return The body.
     * @throw Poco::Net::NoMessageException when the peer closes the connection before an answer begins.
     * @throw Poco::Net::MessageException when the answer is cut short, malformed or too long, or states no length.
     * @throw Poco::TimeoutException when the answer isn't complete in time.
     */
    [[nodiscard]] std::string receive(Poco::Net::HTTPResponse& response);

    /*! @brief Returns the socket, for waiting on several sessions at once. */
    [[nodiscard]] Poco::Net::StreamSocket& socket() noexcept;

private:
    struct implementation;
    explicit http_session(std::unique_ptr<implementation> state) noexcept;

    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
