#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "../catalogue/catalogue_document.hpp"
#include "../core/clock.hpp"
#include "../core/error.hpp"
#include "alert_gate.hpp"
#include "share_table.hpp"

namespace mangopulley {

/*! @brief The request is refused under a limit of the service's owner; the director has acknowledged an alert. */
struct refusal_error {
    std::string service{};
    limit_kind limit{};
    /*! @brief Earliest time after which a retry may be admitted; at least 1 ms. */
    milliseconds retry_after{};
};

/*! @brief The request waited for admission until its deadline and was not executed. */
struct admission_timeout_error {
    std::string service{};
    limit_kind limit{};
};

/*! @brief Permission to run one request; releases its share of the concurrency limit on destruction. */
class permit {
public:
    permit() noexcept = default;
    /**
     * @brief Takes a handle whose deleter releases the permit.
     * @param state Handle; it shares ownership of the admission state because requests may outlast a catalogue entry.
     */
    explicit permit(std::shared_ptr<void> state) noexcept : handle{std::move(state)} {}

private:
    std::shared_ptr<void> handle{};
};

/*! @brief Admits requests within this instance's shares of the owners' limits. Thread-safe. */
class admission {
public:
    /**
     * @brief Creates the admission control; all parameters must outlive it.
     * @param time Clock for rates and deadlines.
     * @param shares This instance's shares of the limits.
     * @param alerts Raises alerts and decides whether a request may be refused.
     */
    admission(const clock& time, const share_table& shares, alert_gate& alerts);
    admission(const admission&) = delete;
    admission& operator=(const admission&) = delete;
    ~admission();

    /**
     * @brief Admits one request, waiting while the limit is reached and a refusal is not allowed.
     * @param service Catalogue entry of the service.
     * @param deadline Time until which the request may wait.
     * @return A permit that must live until the request is answered, `refusal_error` if the request is refused, or
     * `admission_timeout_error` if the deadline passes first.
     */
    [[nodiscard]] result<permit> admit(const service_entry& service, time_point deadline);

    /*! @brief Use of one service's limits at this instance. */
    struct usage {
        std::string service{};
        /*! @brief Requests offered over the last second, refused ones included. */
        double requests_per_second{};
        /*! @brief Admitted requests that have not finished. */
        std::uint32_t in_progress{};
        /*! @brief Requests refused since the start. */
        std::uint64_t refused{};
    };
    /*! @brief Returns the usage of every service that has received a request. */
    [[nodiscard]] std::vector<usage> describe() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
