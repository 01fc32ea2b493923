#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "../core/fwd.hpp"
#include "fwd.hpp"

namespace mangopulley {

/*! @brief Scheduling class of a service; when slots are short, lower enumerators are served first. */
enum class work_class : unsigned char { interactive, normal, batch };

/*! @brief Rules for one kind of request. */
struct kind_rule {
    std::string name{};
    /*! @brief Whether executing a request twice has the same effect as once; only such requests are hedged or retried.
     */
    bool idempotent{};
    /*! @brief Relative value of a response before its deadline; positive. */
    double worth{1.0};
    /*! @brief Timeout of requests that do not specify one. */
    milliseconds timeout{1000};
};

/*! @brief Limits agreed with the owner of a service; requests beyond them may be rejected. */
struct service_limits {
    /*! @brief Requests per second, summed over all instances. */
    double requests_per_second{};
    /*! @brief Concurrent requests in service, summed over all instances; queued requests are not counted. */
    std::uint32_t concurrent{};
    /*! @brief Requests queued for a slot, summed over all instances. */
    std::uint32_t waiting{};
};

/*! @brief Maximum numbers of load probes in any window of one second. */
struct measuring_budget {
    std::uint32_t probes_per_target_per_second{};
    std::uint32_t probes_per_second{};
};

/*! @brief Configuration of one service. */
struct service_entry {
    std::string name{};
    std::string owner{};
    work_class work{work_class::normal};
    service_limits limits{};
    measuring_budget measuring{};
    /*! @brief Maximum concurrent requests per target. */
    std::uint32_t slots_per_target{2};
    /*! @brief Maximum connections per target. */
    std::uint32_t connections_per_target{220};
    /*! @brief Name of the registered routing policy. */
    std::string policy{"slot_aware"};
    /*! @brief How long an isolated instance continues to serve; empty optional for the default of 4.5 s. */
    std::optional<milliseconds> serve_unconfirmed{};
    /*! @brief Whether non-idempotent requests are rejected while the store is unavailable. */
    bool refuse_orders_without_store{};
    std::vector<kind_rule> kinds{};

    /*! @brief Returns the rules of a kind, or null if the service does not define it. */
    [[nodiscard]] const kind_rule* find_kind(std::string_view kind) const noexcept;
};

/*! @brief Parsed catalogue at one version. */
struct catalogue_document {
    std::uint64_t version{};
    std::vector<service_entry> services{};

    /*! @brief Returns the entry of a service, or null if there is none. */
    [[nodiscard]] const service_entry* find_service(std::string_view service) const noexcept;
};

} // namespace mangopulley
