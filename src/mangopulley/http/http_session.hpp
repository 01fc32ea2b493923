#pragma once

#include <memory>
#include <string>
#include <string_view>

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>

#include "../core/fwd.hpp"

namespace mangopulley {

/**
 * @brief One HTTP connection that never reconnects by itself.
 *
 * POCO's client session opens a new connection and writes the request again when the first write on a kept-alive
 * connection fails. A non-idempotent request must not be written twice, so this session reports the failure instead.
 * All functions throw `Poco::Exception` on failure.
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
     * @param request Request line and headers; the content length must be set.
     * @param body Body.
     */
    void send(Poco::Net::HTTPRequest& request, std::string_view body);

    /**
     * @brief Reads the whole answer.
     * @param response Receives status and headers.
     * @return The body.
     * @throw Poco::Net::MessageException when the body is cut short, its length is not framed, or the answer is too
     * long.
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
