#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "../core/error.hpp"
#include "../core/fwd.hpp"
#include "fwd.hpp"

namespace mangopulley {

/*! @brief Load that a target states of itself; it lags or misleads. */
struct load_report {
    /*! @brief Requests being worked on. */
    std::uint32_t in_flight{};
    /*! @brief Requests waiting at the target. */
    std::uint32_t queued{};
};

/*! @brief Request as it goes to a target. */
struct target_request {
    std::string kind{};
    /*! @brief Unique per attempt; a target that sheds the request echoes it. */
    std::string request_id{};
    std::string body{};
    std::string content_type{"application/octet-stream"};
    std::string traceparent{};
    /*! @brief A target does not start the work after this time. */
    time_point deadline{};
    /*! @brief Whether a connection that may have been closed meanwhile can be used; a repeat does no harm. */
    bool idempotent{};
};

/*! @brief Whole answer of a target. */
struct target_answer {
    int status{};
    std::string body{};
    std::string content_type{};
    std::optional<load_report> load{};
    /*! @brief Whether the target says that it is leaving. */
    bool draining{};
};

/*! @brief Failure of a request to a target. */
struct target_error {
    enum class code : std::uint8_t {
        /*! @brief No byte of the request was sent. */
        not_sent,
        /*! @brief The target itself said that it did not run the request, with the id of this attempt. */
        shed,
        /*! @brief The connection broke after bytes were sent; the request may have run. */
        broken,
        /*! @brief No whole answer before the deadline; the request may have run. */
        timed_out,
        /*! @brief The answer was cut short or not framed; the request may have run. */
        malformed,
        /*! @brief The request was cancelled by this process; it may have run. */
        cancelled
    };

    code code{code::broken};
    std::string endpoint{};
    std::string detail{};
    /*! @brief Whether a shedding target says that it is leaving. */
    bool draining{};

    /*! @brief Tells whether the request provably did not run. */
    [[nodiscard]] bool not_run() const noexcept { return this->code == code::not_sent || this->code == code::shed; }
};

/*! @brief Request that was written to a target and whose answer has not been read. */
class exchange {
public:
    exchange() = default;
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;
    /*! @brief Closes the connection when the answer was not read whole: a late answer must meet no other request. */
    virtual ~exchange() = default;

    /**
     * @brief Reads the answer; called once.
     * @param deadline Latest time to wait for it.
     * @return The whole answer, or `target_error`.
     */
    [[nodiscard]] virtual result<target_answer> receive(time_point deadline) = 0;

    /*! @brief Gives up: closes the connection and asks the target to cancel the work. */
    virtual void cancel() noexcept = 0;
};

/*! @brief Access to targets. */
class target_client {
public:
    target_client() = default;
    target_client(const target_client&) = delete;
    target_client& operator=(const target_client&) = delete;
    virtual ~target_client() = default;

    /**
     * @brief Writes a request to a target without waiting for the answer.
     * @param endpoint Target as `ip:port`.
     * @param request Request to write.
     * @return The open exchange, or `target_error` (`not_sent` when no byte was written).
     */
    [[nodiscard]] virtual result<std::unique_ptr<exchange>> begin(std::string_view endpoint,
                                                                  const target_request& request) = 0;

    /**
     * @brief Waits until one of several exchanges has an answer or has failed.
     * @param open Exchanges to wait for; none of them null.
     * @param until Latest time to wait.
     * @return Index of one that is ready, or nothing when the time passed.
     */
    [[nodiscard]] virtual std::optional<std::size_t> wait_any(std::span<exchange* const> open, time_point until) = 0;

    /**
     * @brief Asks a target for its load.
     * @param endpoint Target as `ip:port`.
     * @param deadline Latest time to wait, also sent to the target, which discards the probe later.
     * @return The report, or `target_error`.
     */
    [[nodiscard]] virtual result<load_report> probe(std::string_view endpoint, time_point deadline) = 0;
};

} // namespace mangopulley
