#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "../core/clock.hpp"
#include "../core/error.hpp"
#include "../core/kernel.hpp"
#include "fwd.hpp"

namespace mangopulley {

/*! @brief Reason for refusing a request: a limit of the service, or that the store it requires is unavailable. */
enum class limit_kind : unsigned char { requests_per_second, concurrent_and_waiting, store_required };

/*! @brief Returns the name used in problem bodies, alerts and metrics. */
[[nodiscard]] std::string_view to_string(limit_kind limit) noexcept;

/*! @brief Alert sent to the operators' director. */
struct alert {
    std::string service{};
    limit_kind limit{};
    std::string instance{};
    std::string detail{};
};

/*! @brief Delivers alerts to the director. */
class alert_sender {
public:
    alert_sender() = default;
    alert_sender(const alert_sender&) = delete;
    alert_sender& operator=(const alert_sender&) = delete;
    virtual ~alert_sender() = default;

    /*! @brief Delivers one alert; returns whether the director's endpoint acknowledged it. */
    [[nodiscard]] virtual bool send(const alert& message) = 0;
};

/*! @brief Posts alerts as JSON to the configured endpoints, in order, until one responds with a 2xx status. */
class http_alert_sender final : public alert_sender {
public:
    /**
     * @brief Creates a sender.
     * @param endpoints URLs of the form `http://ip:port/path`.
     */
    explicit http_alert_sender(std::vector<std::string> endpoints);

    [[nodiscard]] bool send(const alert& message) override;

private:
    std::vector<std::string> urls;
};

/**
 * @brief Tracks acknowledged alerts; a request may be refused only if an alert about its limit was acknowledged.
 *
 * Alerts are delivered on a dedicated thread, so that no request waits for the director's endpoint. An acknowledgement
 * is valid for 15 minutes; a failed delivery is retried every second until it succeeds.
 */
class alert_gate final : public plugin {
public:
    /**
     * @brief Creates the gate; `start` launches the delivery thread.
     * @param time Clock; must outlive the gate.
     * @param sender Delivers alerts; must outlive the gate.
     * @param instance Name of this instance, included in each alert.
     */
    alert_gate(const clock& time, alert_sender& sender, std::string instance);
    ~alert_gate() override;

    /**
     * @brief Queues an alert unless one for this limit is pending or was acknowledged in the last 15 minutes; does not
     * wait for the delivery.
     * @param service Name of the service.
     * @param limit Limit that the alert is about.
     * @param detail Text for the director.
     */
    void raise(std::string_view service, limit_kind limit, std::string_view detail);

    /**
     * @brief Returns whether requests may be refused under this limit.
     *
     * This is the case from 1 s after the first acknowledgement of an alert until 15 minutes after the latest one.
     */
    [[nodiscard]] bool refusal_allowed(std::string_view service, limit_kind limit) const;

    /*! @brief State of the alert for one limit of a service. */
    struct status {
        std::string service{};
        limit_kind limit{};
        /*! @brief Whether the last acknowledgement is still valid. */
        bool acknowledged{};
        /*! @brief Time since the last acknowledgement; zero if there was none. */
        duration age{};
        /*! @brief Failed deliveries since the start. */
        std::uint64_t failures{};
    };
    /*! @brief Returns the state of every alert raised since the start. */
    [[nodiscard]] std::vector<status> describe() const;

    [[nodiscard]] std::string_view name() const noexcept override;
    void start() override;
    void stop() noexcept override;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
