#pragma once

#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>

#include "../core/error.hpp"
#include "../core/fwd.hpp"

namespace mangopulley {

/*! @brief Importance of a log line. */
enum class log_level : unsigned char { trace, debug, info, warn, error };

/**
 * @brief Sends log lines to standard error; called once at the start of a process.
 * @param level Name of the least important level that is written: `trace`, `debug`, `info`, `warn` or `error`.
 */
void configure_logging(std::string_view level);

/**
 * @brief Sends log lines to standard output from a thread of their own; lines that find its buffer full are dropped.
 * @param level As of `configure_logging`.
 */
void configure_background_logging(std::string_view level);

/*! @brief Writes what is buffered and ends the thread of the log. */
void stop_logging();

/*! @brief Structured log of one component: an event name and named values per line, written by log4cxx. */
class event_log {
public:
    /*! @brief Named value of an event. */
    struct field {
        std::string_view name;
        std::string value;
    };

    /*! @brief Opens the log of a component. */
    explicit event_log(std::string_view component);
    ~event_log();

    /**
     * @brief Writes one line when the level is enabled.
     * @param level Importance.
     * @param event Name of what happened, in words joined by underscores.
     * @param fields Values; `request_id` names the request that the event belongs to.
     */
    void write(log_level level, std::string_view event, std::initializer_list<field> fields) const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
