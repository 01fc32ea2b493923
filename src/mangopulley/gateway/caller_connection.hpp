#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>

#include <Poco/Net/StreamSocket.h>

#include "../http/body_part.hpp"
#include "../http/http_message.hpp"
#include "../http/memory_budget.hpp"
#include "../loop/event_loop.hpp"
#include "../loop/stream.hpp"
#include "http_server_exchange.hpp"
#include "request_intake.hpp"
#include "request_rejection.hpp"
#include "response_queue.hpp"

namespace mangopulley::internal {

class caller_connection;
class port_exchange;

/*! @brief State that a server shares with its connections; must outlive them. */
struct server_context {
    event_loop& loop;
    memory_budget& memory;
    std::function<http_limits()> limits;
    std::function<void(const std::shared_ptr<http_server_exchange>& exchange)> on_request;
    /*! @brief Returns whether a request without a body may run beside others of its connection; may be empty. */
    std::function<bool(const http_request& request)> may_overlap;
    std::unordered_map<caller_connection*, std::shared_ptr<caller_connection>> connections{};
    std::function<void(const request_rejection& rejection)> on_rejection{};
    /*! @brief Whether each connection is closed after the last response to the requests that were handed over. */
    bool draining{};
    /*! @brief Number of requests that were handed over before all earlier ones of their connection were answered. */
    std::uint64_t overlapping_requests{};
};

/**
 * @brief Connection of a caller: reads its requests, decides when each is handed over, and sends the responses.
 *
 * A request that may not overlap with others is handed over when all before it are answered, and the next one when it
 * is answered itself.
 */
class caller_connection final : public std::enable_shared_from_this<caller_connection> {
public:
    explicit caller_connection(server_context& server);

    void open(const Poco::Net::StreamSocket& socket);

    /*! @brief Returns whether no request is in progress and no bytes are unsent. */
    [[nodiscard]] bool idle() const noexcept {
        return this->responses.empty() && !this->intake.arriving().started() && this->all_sent();
    }

    /*! @brief Sends the response when its turn comes, unless the request was cancelled. */
    void respond(const port_exchange& exchange, std::string_view head, std::string_view body, bool bodiless);
    void respond(const port_exchange& exchange, const http_reply& reply);
    /*! @brief Begins a response whose body follows in parts. */
    void begin_response(const port_exchange& exchange, std::string_view head, std::optional<std::size_t> length);
    void send_body(const port_exchange& exchange, const body_part& part);
    /*! @brief Returns whether the next part of the response may be read. */
    [[nodiscard]] bool may_continue(std::uint64_t number) const noexcept;
    void set_sent_listener(std::uint64_t number, std::function<void()> listener) {
        this->responses.set_sent_listener(number, std::move(listener));
    }
    void set_disconnect_listener(std::uint64_t number, std::function<void()> listener) {
        this->responses.set_disconnect_listener(number, std::move(listener));
    }
    /*! @brief Reads the next part of the request's body, if some of it is still to arrive; empty to stop reading. */
    void read_body(std::uint64_t number, body_reader&& next);

    /*! @brief Closes or answers the connection if it exceeded a timeout. */
    void expire(time_point now, const http_limits& bounds);
    /*! @brief Closes the connection and removes it from the server, without a word to those who handle its requests. */
    void drop();

private:
    /*! @brief Returns how long a connection that is being closed waits for the caller. */
    [[nodiscard]] duration max_linger() const noexcept;
    /*! @brief Returns the earliest possible arrival time of the bytes being read. */
    [[nodiscard]] time_point earliest_arrival();

    void handle_received(std::string_view bytes);
    void handle_sent();

    [[nodiscard]] bool all_sent() const noexcept { return !this->connection || this->connection->unsent() == 0U; }
    /*! @brief Runs a function that calls others' code; closes the connection if it fails, because a request or response
     * may be missing then. */
    template <typename Action>
    void run_or_abort(const Action& action);
    /*! @brief Closes the connection and cancels its requests. */
    void abort();

    /*! @brief Sends what has its turn and hands over requests, until neither is possible. A call within another, such
     * as that of a handler that responds at once, leaves its work to that one, so that requests that came together
     * don't deepen the stack. */
    void advance();
    /*! @brief Returns whether anything was done that may make more possible. */
    [[nodiscard]] bool advance_once();
    /*! @brief Sends what has its turn; calls nobody. */
    void flush();
    void end_response(bool closes);
    void begin_closing();
    /*! @brief Sends what has its turn of a response and keeps the rest; returns false if that was replaced by a refusal
     * for lack of memory. */
    [[nodiscard]] bool flush_or_hold(const port_exchange& exchange);

    /*! @brief Returns whether the next request may be handed over if it may overlap. */
    [[nodiscard]] bool has_room() const noexcept;
    [[nodiscard]] bool next_may_overlap() const;
    /*! @brief Hands over or rejects the next request if it has arrived and its turn has come; returns whether it did.
     */
    [[nodiscard]] bool begin_next();
    void begin_request(bool whole, bool may_overlap);
    /*! @brief Reads on unless too many bytes wait for their turn. */
    void update_reading();

    /*! @brief Reserves memory for a body of which more may arrive; returns false if the request was rejected for lack
     * of memory. */
    [[nodiscard]] bool admit_body(bool complete);
    /*! @brief Passes on what has arrived of the body, or stops reading while nobody takes it. */
    void continue_body();
    /*! @brief Discards bytes of a body that nobody reads; the caller may read the response only after sending it all.
     */
    void discard(std::string_view bytes);
    /*! @brief Ends the sending side; closing with unread bytes would reset the connection, and the caller could lose
     * the response. */
    void begin_lingering();

    /*! @brief Answers the request that is arriving without the handler, after those before it; the connection ends with
     * that response. */
    void reject(const http_reply& reply);
    void report_rejection(const http_reply& reply, const http_request* head, std::uint64_t previous_requests) const;
    /*! @brief Ends a request whose body turned out to be malformed after it was passed on in part. */
    void reject_body();

    server_context& owner;
    request_intake intake;
    response_queue responses;
    std::unique_ptr<stream> connection{};
    body_reader reader{};
    time_point last_activity;
    /*! @brief Earliest possible time of the connection's opening; the maximum once the first bytes were read. */
    time_point earliest_opened;
    time_point accept_turn{owner.loop.turn_began()};
    /*! @brief Whether the request in progress may not overlap with others. */
    bool exclusive{};
    /*! @brief Whether the rest of the body of the request in progress, or of the last one, is still to arrive. */
    bool body_open{};
    /*! @brief Whether the sent listener of the first response may be waiting for a call. */
    bool sent_call_due{};
    bool advancing{};
    bool closing{};
    bool lingering{};
};

} // namespace mangopulley::internal
