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

/*! @brief Limits of a service, or bounds of an instance, under which a request may be refused. */
enum class limit_kind : unsigned char { requests_per_second, concurrent_and_waiting, store_required };

/*! @brief Returns the name used in problem bodies, alerts and metrics. */
[[nodiscard]] std::string_view to_string(limit_kind limit) noexcept;

/*! @brief Message to the operators' director. */
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

    /*! @brief Delivers one alert; returns whether the director's side acknowledged it. */
    [[nodiscard]] virtual bool send(const alert& message) = 0;
};

/*! @brief Posts alerts as JSON to the endpoints of the settings, in order, until one answers 2xx. */
class http_alert_sender final : public alert_sender {
public:
    /*! @brief Takes the URLs of the endpoints, `http://ip:port/path`. */
    explicit http_alert_sender(std::vector<std::string> endpoints);

    [[nodiscard]] bool send(const alert& message) override;

private:
    std::vector<std::string> urls;
};

/**
 * @brief Remembers which alerts were acknowledged; a request may be refused only under one that was.
 *
 * Alerts are delivered on a thread of its own, so that no request waits for the director's endpoint. An acknowledgement
 * holds for 15 minutes; a failed delivery is tried again every second while the limit stays under pressure.
 */
class alert_gate final : public plugin {
public:
    /**
     * @brief Prepares the gate.
     * @param time Clock; must outlive the gate.
     * @param sender Delivers alerts; must outlive the gate.
     * @param instance Name of this instance for the alerts.
     */
    alert_gate(const clock& time, alert_sender& sender, std::string instance);
    ~alert_gate() override;

    /*! @brief Asks for an alert unless one was acknowledged lately or is on its way; returns at once. */
    void raise(std::string_view service, limit_kind limit, std::string_view detail);

    /*! @brief Tells whether an alert for this limit was acknowledged at least 1 s and at most 15 minutes ago. */
    [[nodiscard]] bool acknowledged(std::string_view service, limit_kind limit) const;

    /*! @brief One alert for the state dump. */
    struct status {
        std::string service{};
        limit_kind limit{};
        bool acknowledged{};
        duration age{};
        std::uint64_t failures{};
    };
    [[nodiscard]] std::vector<status> describe() const;

    [[nodiscard]] std::string_view name() const noexcept override;
    void start() override;
    void stop() noexcept override;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
