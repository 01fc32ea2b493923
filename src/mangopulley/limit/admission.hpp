#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "../catalogue/document.hpp"
#include "../core/clock.hpp"
#include "../core/error.hpp"
#include "alert_gate.hpp"
#include "share_table.hpp"

namespace mangopulley {

/*! @brief The owner's limit does not allow the request now, and the director has been alerted. */
struct refusal_error {
    std::string service{};
    limit_kind limit{};
    /*! @brief Time after which a repeat has a chance. */
    milliseconds retry_after{};
};

/*! @brief The request waited for admission until its deadline; it was not run. */
struct admission_timeout_error {
    std::string service{};
    limit_kind limit{};
};

/*! @brief Leave to run one request; gives its place back at destruction. */
class permit {
public:
    permit() noexcept = default;
    /*! @brief Holds a place; `state` outlives the owner because requests may outlast a catalogue entry. */
    explicit permit(std::shared_ptr<void> state) noexcept : place{std::move(state)} {}

private:
    std::shared_ptr<void> place{};
};

/*! @brief Admits requests within this instance's shares of the owners' limits. Thread-safe. */
class admission {
public:
    /**
     * @brief Prepares admission; the parameters must outlive it.
     * @param time Clock.
     * @param shares This instance's shares.
     * @param alerts Tells whether a refusal is allowed.
     */
    admission(const clock& time, const share_table& shares, alert_gate& alerts);
    admission(const admission&) = delete;
    admission& operator=(const admission&) = delete;
    ~admission();

    /**
     * @brief Admits one request, waiting while the limit is reached and a refusal is not allowed.
     * @param service Catalogue entry of the service.
     * @param deadline Latest time to wait.
     * @return A permit to keep until the request is answered, `refusal_error` or `admission_timeout_error`.
     */
    [[nodiscard]] result<permit> admit(const service_entry& service, time_point deadline);

    /*! @brief Requests per second for each service at this instance, over the last second. */
    struct usage {
        std::string service{};
        double requests_per_second{};
        std::uint32_t in_progress{};
        std::uint64_t refused{};
    };
    [[nodiscard]] std::vector<usage> describe() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
