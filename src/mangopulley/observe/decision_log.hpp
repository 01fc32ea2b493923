#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string_view>

#include "../core/clock.hpp"
#include "event_log.hpp"

namespace mangopulley {

/**
 * @brief Structured lines for decisions, bounded in number.
 *
 * Lines beyond the rate are dropped and counted; the count is written with the next line that is let through.
 */
class decision_log {
public:
    /**
     * @brief Opens the log of a component.
     * @param component Name in the lines.
     * @param time Clock, which must outlive the log.
     * @param lines_per_second Bound of lines about single requests.
     */
    decision_log(std::string_view component, const clock& time, double lines_per_second);
    ~decision_log();

    /*! @brief Writes a line about one request unless the bound is reached. */
    void request(std::string_view event, std::initializer_list<event_log::field> fields);
    /*! @brief Writes a line about a change of what the process believes; these are rare and not bounded. */
    void change(std::string_view event, std::initializer_list<event_log::field> fields);
    /*! @brief Returns the number of lines dropped so far. */
    [[nodiscard]] std::uint64_t dropped() const noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
