#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "../http/body_part.hpp"
#include "../http/http_message.hpp"
#include "../http/memory_budget.hpp"
#include "http_server_exchange.hpp"

namespace mangopulley::internal {

class caller_connection;

/*! @brief Request of a caller's connection; its calls do nothing once the connection is closed. */
class port_exchange final : public http_server_exchange, public std::enable_shared_from_this<port_exchange> {
public:
    /**
     * @brief Constructs the exchange.
     * @param owner Connection of the request.
     * @param position Number of the request in the connection's `response_queue`.
     * @param received Request.
     * @param body_complete Whether `received` holds the whole body.
     * @param body_memory Memory of the body, held for as long as the body is, whoever has left.
     */
    port_exchange(std::weak_ptr<caller_connection> owner, std::uint64_t position, http_request&& received,
                  bool body_complete, memory_reservation&& body_memory);

    [[nodiscard]] std::uint64_t number() const noexcept { return this->queue_number; }

    [[nodiscard]] const http_request& request() const noexcept override;
    [[nodiscard]] bool body_held() const noexcept override;
    void read_body(body_reader reader) override;
    void respond(std::string_view status_and_fields, std::string_view body, bool bodiless) override;
    void respond(const http_reply& reply) override;
    void begin_response(std::string_view status_and_fields, std::optional<std::size_t> length) override;
    void send_body(const body_part& part) override;
    [[nodiscard]] bool all_sent() const noexcept override;
    void on_sent(std::function<void()> listener) override;
    void on_disconnect(std::function<void()> listener) override;

private:
    std::weak_ptr<caller_connection> connection;
    std::uint64_t queue_number;
    http_request content;
    bool whole;
    memory_reservation memory;
};

} // namespace mangopulley::internal
