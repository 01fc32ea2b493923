#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>

#include <mangopulley/loop/event_loop.hpp>
#include <mangopulley/loop/stream.hpp>

#include "order_tracker.hpp"
#include "response_reader.hpp"

namespace soak {

/*! @brief What all callers of a run share. */
struct caller_context {
    mangopulley::event_loop& loop;
    order_tracker& tracker;
    std::minstd_rand& random;
    /*! @brief Returns where callers reach an instance. */
    std::function<std::string(std::size_t index)> endpoint{};
    /*! @brief Returns the instance for a new connection. */
    std::function<std::size_t()> choose{};
    /*! @brief Prefix of the route of requests that are not idempotent. */
    std::string prefix{"/put/"};
    std::size_t orders{};
    /*! @brief Longest pause between an answer and the next order. */
    std::chrono::milliseconds longest_pause{};
    /*! @brief Whether callers send their next order almost at once. */
    int bursts{};
    /*! @brief Callers open a new connection now and then, so that all instances are asked. */
    bool reconnecting{};
    /*! @brief No order is sent any more. */
    bool closed{};
};

/*! @brief Caller that sends one order after the other and keeps its connection until the peer ends it. */
class soak_caller {
public:
    explicit soak_caller(caller_context& shared);
    soak_caller(const soak_caller&) = delete;
    soak_caller& operator=(const soak_caller&) = delete;
    ~soak_caller();

    /*! @brief Resets the connection when it leads to an instance. */
    void reset(std::size_t index);

private:
    void send_next();
    void connect();
    void send_order();
    [[nodiscard]] order make_order();
    void received(std::string_view bytes);
    void ended(bool broken);
    void finish(const seen_response& response);
    void leave();
    void abandon();
    void pause_before_next();
    void drop();

    caller_context& context;
    std::unique_ptr<mangopulley::stream> bytes{};
    response_reader reader{};
    std::size_t instance{};
    order* current{};
    bool connected{};
    mangopulley::timer_id next{};
    mangopulley::timer_id limit{};
};

} // namespace soak
