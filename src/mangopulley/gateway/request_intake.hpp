#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

#include "../http/http_message.hpp"
#include "../http/memory_budget.hpp"
#include "../http/request_parser.hpp"
#include "arrival_times.hpp"

namespace mangopulley::internal {

// Part of a body that is read ahead of its reader or its turn, and the memory that a request's body needs at least.
constexpr std::size_t body_window_bytes = 65'536U;

/**
 * @brief Requests of one connection from the arrival of their bytes until they are handed over.
 *
 * Knows when the first byte of each request arrived, and reserves the memory for its body.
 */
class request_intake {
public:
    /*! @brief Creates an intake without bytes; the budget must outlive it. */
    request_intake(const http_limits& bounds, memory_budget& budget);

    /*! @brief Replaces the limits unless a head is complete; a connection outlives many configurations. */
    void apply(const http_limits& bounds) noexcept;
    /*! @brief Adds bytes that can have arrived at the given time at the earliest. */
    void receive(std::string_view bytes, time_point arrived);

    [[nodiscard]] request_parser::state examine() { return this->parser.examine(); }
    /*! @brief Returns the request that is arriving; its head is valid while `head_complete`. */
    [[nodiscard]] const request_parser& arriving() const noexcept { return this->parser; }
    [[nodiscard]] bool take_continue_expected() noexcept { return this->parser.take_continue_expected(); }
    /*! @brief Returns the reply to a request that `examine` rejected. */
    [[nodiscard]] http_reply rejection() const {
        return text_reply(this->parser.rejection_status(), std::string{this->parser.rejection_reason()});
    }
    [[nodiscard]] const http_limits& limits() const noexcept { return this->bounds_in_force; }
    /*! @brief Returns when the first byte of the request that is arriving did. */
    [[nodiscard]] time_point began() const noexcept { return this->arrived; }
    /*! @brief Returns the longest time that the request may take to arrive. */
    [[nodiscard]] duration longest_receive() const noexcept;
    /*! @brief Returns the number of bytes that were received and not taken. */
    [[nodiscard]] std::size_t waiting_bytes() const noexcept {
        return this->parser.buffered_bytes() + this->parser.body_bytes();
    }

    /*! @brief Reserves memory for a body of which more may arrive; returns false if there is none. */
    [[nodiscard]] bool reserve_body();
    /*! @brief Returns whether the body that is arriving is too long to be held whole. */
    [[nodiscard]] bool must_pass_on();
    /*! @brief Takes out the request; the rest of its body may follow. */
    [[nodiscard]] http_request take();
    /*! @brief Takes out what was examined of the body since the last call. */
    [[nodiscard]] std::string take_body();
    /*! @brief Hands over the memory of a body that is held whole. */
    [[nodiscard]] memory_reservation take_memory() noexcept { return std::move(this->memory); }
    void release_memory() noexcept { this->memory.release(); }

private:
    void find_next_arrival();

    http_limits bounds_in_force;
    request_parser parser;
    memory_reservation memory;
    arrival_times arrivals{};
    time_point arrived{};
};

} // namespace mangopulley::internal
