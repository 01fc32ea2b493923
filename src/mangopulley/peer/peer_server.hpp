#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "../core/kernel.hpp"
#include "../wire/message.hpp"

namespace mangopulley {

/**
 * @brief Serves requests of other instances, with one thread per connection.
 *
 * A handler receives the message fields and returns the reply fields, or `std::nullopt` when the message is malformed;
 * the connection is then closed.
 */
class peer_server final : public plugin {
public:
    using handler = std::function<std::optional<std::string>(std::string_view body)>;

    /**
     * @brief Creates the server without binding its address.
     * @param address Address to listen on, `ip:port`.
     */
    explicit peer_server(std::string address);
    ~peer_server() override;

    /*! @brief Sets the handler of a message type; must be called before `start`. */
    void handle(message_type type, handler action);

    [[nodiscard]] std::string_view name() const noexcept override;
    void start() override;
    void stop() noexcept override;

    /*! @brief Returns the number of reply bytes sent since the start, including frame headers. */
    [[nodiscard]] std::uint64_t bytes_sent() const noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
