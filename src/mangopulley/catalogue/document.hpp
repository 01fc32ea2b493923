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

/*! @brief Class of work of a service; an earlier class is served first when slots are short. */
enum class work_class : unsigned char { interactive, normal, batch };

/*! @brief Rules for one kind of request. */
struct kind_rule {
    std::string name{};
    /*! @brief Whether a repeat has no further effect; only such requests are hedged or sent twice. */
    bool idempotent{};
    /*! @brief Relative value of an answer in time; positive. */
    double worth{1.0};
    /*! @brief Deadline of requests that state none. */
    milliseconds timeout{1000};
};

/*! @brief Limits that a service's owner has agreed to; requests beyond them may be refused. */
struct service_limits {
    /*! @brief Requests per second over all instances. */
    double requests_per_second{};
    /*! @brief Requests being served at once over all instances, those that wait excluded. */
    std::uint32_t concurrent{};
    /*! @brief Requests that may wait for a slot over all instances. */
    std::uint32_t waiting{};
};

/*! @brief Upper bounds of the work of measuring targets, in any window of one second. */
struct measuring_budget {
    std::uint32_t probes_per_target_per_second{};
    std::uint32_t probes_per_second{};
};

/*! @brief Entry of one service. */
struct service_entry {
    std::string name{};
    std::string owner{};
    work_class work{work_class::normal};
    service_limits limits{};
    measuring_budget measuring{};
    /*! @brief Requests that one target serves at once. */
    std::uint32_t slots_per_target{2};
    /*! @brief Connections that one target accepts. */
    std::uint32_t connections_per_target{220};
    /*! @brief Name of the registered routing policy. */
    std::string policy{"slot_aware"};
    /*! @brief How long an isolated instance goes on serving; nothing means the default of 4.5 s. */
    std::optional<milliseconds> serve_unconfirmed{};
    /*! @brief Whether non-idempotent requests are refused while the store is out. */
    bool refuse_orders_without_store{};
    std::vector<kind_rule> kinds{};

    /*! @brief Returns the rules of a kind, or null. */
    [[nodiscard]] const kind_rule* find_kind(std::string_view kind) const noexcept;
};

/*! @brief Catalogue at one version. */
struct document {
    std::uint64_t version{};
    std::vector<service_entry> services{};

    /*! @brief Returns the entry of a service, or null. */
    [[nodiscard]] const service_entry* find_service(std::string_view service) const noexcept;
};

} // namespace mangopulley
