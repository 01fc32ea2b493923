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

/*! @brief Load as reported by a target itself; it may be outdated or misleading. */
struct load_report {
    /*! @brief Number of requests being processed. */
    std::uint32_t in_flight{};
    /*! @brief Number of requests queued at the target. */
    std::uint32_t queued{};
};

/*! @brief Request as it is sent to a target. */
struct target_request {
    std::string kind{};
    /*! @brief Unique per attempt and never empty; a target repeats it in its answer, by which late answers to other
     * requests are told apart. */
    std::string request_id{};
    std::string body{};
    std::string content_type{"application/octet-stream"};
    std::string traceparent{};
    /*! @brief The target does not start processing after this time. */
    time_point deadline{};
    /*! @brief Whether the request may safely run twice and so use a connection that the target may have closed. */
    bool idempotent{};
};

/*! @brief Complete response of a target. */
struct target_answer {
    int status{};
    std::string body{};
    std::string content_type{};
    std::optional<load_report> load{};
    /*! @brief Whether the target announced that it is draining. */
    bool draining{};
};

/*! @brief Failure of a request to a target. */
struct target_error {
    enum class code : std::uint8_t {
        /*! @brief No byte of the request was sent. */
        not_sent,
        /*! @brief The target confirmed, with the id of this attempt, that it did not run the request. */
        shed,
        /*! @brief The connection failed after bytes may have been sent; the request may have run. */
        broken,
        /*! @brief No complete response before the deadline; the request may have run. */
        timed_out,
        /*! @brief The response was truncated, not framed correctly or not that to this request; it may have run. */
        malformed,
        /*! @brief The request was cancelled by this process; it may have run. */
        cancelled
    };

    code code{code::broken};
    std::string endpoint{};
    std::string detail{};
    /*! @brief Whether the target that shed the request announced that it is draining. */
    bool draining{};

    /*! @brief Returns whether it is certain that the request did not run. */
    [[nodiscard]] bool not_run() const noexcept { return this->code == code::not_sent || this->code == code::shed; }
};

/*! @brief Request that was sent to a target and whose response has not been read yet. */
class exchange {
public:
    exchange() = default;
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;
    /*! @brief Closes the connection unless the response was read whole; a late one must not reach another request. */
    virtual ~exchange() = default;

    /**
     * @brief Reads the response; must be called at most once.
     * @param deadline Time until which to wait for the response.
     * @return The complete response, or `target_error`.
     */
    [[nodiscard]] virtual result<target_answer> receive(time_point deadline) = 0;

    /*! @brief Abandons the request: closes the connection and asks the target to cancel the work. */
    virtual void cancel() noexcept = 0;
};

/*! @brief Interface for sending requests and load probes to targets. */
class target_client {
public:
    target_client() = default;
    target_client(const target_client&) = delete;
    target_client& operator=(const target_client&) = delete;
    virtual ~target_client() = default;

    /**
     * @brief Sends a request to a target without waiting for the response.
     * @param endpoint Address of the target as `ip:port`.
     * @param request Request to send.
     * @return The pending exchange, or `target_error` (`not_sent` when no byte was written).
     */
    [[nodiscard]] virtual result<std::unique_ptr<exchange>> begin(std::string_view endpoint,
                                                                  const target_request& request) = 0;

    /**
     * @brief Waits until one of several exchanges has a response or has failed.
     * @param open Exchanges to wait for; none may be null.
     * @param until Time until which to wait.
     * @return Index of an exchange that is ready, or `std::nullopt` on timeout.
     */
    [[nodiscard]] virtual std::optional<std::size_t> wait_any(std::span<exchange* const> open, time_point until) = 0;

    /**
     * @brief Requests the current load of a target.
     * @param endpoint Address of the target as `ip:port`.
     * @param deadline Time until which to wait; also sent to the target, which discards the probe after it.
     * @return The load report, or `target_error`.
     */
    [[nodiscard]] virtual result<load_report> probe(std::string_view endpoint, time_point deadline) = 0;
};

} // namespace mangopulley
