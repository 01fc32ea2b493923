#pragma once

#include <functional>
#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "api_key.hpp"
#include "route_estimates.hpp"
#include "route_table.hpp"
#include "service_queues.hpp"
#include "team_quotas.hpp"

namespace mangopulley {

/*! @brief Request whose way is asked for. */
struct explained_request {
    std::string host{};
    /*! @brief Path without the query. */
    std::string path{};
    /*! @brief Method; the decision does not depend on it. */
    std::string method{"GET"};
    /*! @brief Name of the caller's team; goes before the key. */
    std::string team{};
    std::optional<key_digest> key{};
};

/*! @brief What would happen to a request, or why that cannot be told. */
struct explanation {
    /*! @brief 200; 503 without a configuration; 404 without a route or a team of the name. */
    int status{200};
    nlohmann::json content{};
};

namespace internal {

/*! @brief Tells where a request would go now; changes nothing. */
class request_explainer {
public:
    /*! @brief Dependencies; all must outlive this object. */
    struct dependencies {
        const route_table& routes;
        const route_estimates& estimates;
        const service_queues& services;
        /*! @brief Null if teams have no quotas. */
        const team_quotas* quotas{};
        time_point now{};
        /*! @brief Returns whether a request with a deadline is refused because the process ends. */
        std::function<bool(time_point deadline)> refused_at_stop{};
    };

    explicit request_explainer(dependencies used) : deps{std::move(used)} {}

    [[nodiscard]] explanation explain(const explained_request& question) const;

private:
    [[nodiscard]] const team_config* find_team(const explained_request& question) const;
    /*! @brief Returns what a request of a team would meet at its quota; nothing without one. */
    [[nodiscard]] std::optional<allowance_table::limit_preview> preview_quota(const team_config* team) const;
    [[nodiscard]] nlohmann::json describe_quota(const team_config& team) const;
    void add_decision(nlohmann::json& content, const route& selected, const team_config* team) const;
    [[nodiscard]] nlohmann::json refusal_before_queue(const route& selected, const team_config* team) const;

    dependencies deps;
};

} // namespace internal

} // namespace mangopulley
