#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "../http/http_message.hpp"
#include "../loop/event_loop.hpp"

namespace mangopulley {

/*! @brief Request of a caller that waits for its one answer; shared with the connection it came on. */
class caller_exchange {
public:
    virtual ~caller_exchange() = default;
    [[nodiscard]] virtual const http_request& request() const noexcept = 0;
    /*! @brief Answers with a status line, fields and a body that the port completes with framing; only once. */
    virtual void answer(std::string_view status_and_fields, std::string_view body, bool bodiless) = 0;
    /*! @brief Answers with a reply of this instance's own; only once. */
    virtual void answer(const http_reply& reply) = 0;
    /*! @brief Sets what is called when the caller closes before the answer. */
    virtual void on_gone(std::function<void()> action) = 0;
};

/**
 * @brief HTTP/1.1 server on an event loop.
 *
 * Requests of one connection are answered in turn. A caller that closes its side counts as gone.
 */
class caller_port {
public:
    using handler = std::function<void(const std::shared_ptr<caller_exchange>& exchange)>;

    /**
     * @brief Listens.
     * @param loop Loop, which must outlive the port.
     * @param address Address as `ip:port`.
     * @param limits Returns the bounds for a new connection.
     * @param action Called with each whole request.
     * @throw Poco::Exception when the address is in use.
     */
    caller_port(event_loop& loop, const std::string& address, std::function<http_limits()> limits, handler action);
    caller_port(const caller_port&) = delete;
    caller_port& operator=(const caller_port&) = delete;
    ~caller_port();

    /*! @brief Closes each connection after its next answer. */
    void close_after_answers() noexcept;
    /*! @brief Closes the connections that wait for no answer. */
    void close_idle();
    /*! @brief Closes idle and slow connections; called about ten times a second. */
    void expire();

    [[nodiscard]] std::size_t connections() const noexcept;
    /*! @brief Returns the number of requests being received or answered. */
    [[nodiscard]] std::size_t busy() const noexcept;
    [[nodiscard]] std::uint16_t port() const;

private:
    struct implementation;
    std::shared_ptr<implementation> self;
};

} // namespace mangopulley
