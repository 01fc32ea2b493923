#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

#include "../http/fwd.hpp"
#include "../http/http_message.hpp"
#include "../observe/decision_log.hpp"
#include "../observe/metrics.hpp"
#include "fwd.hpp"
#include "request_explainer.hpp"

namespace mangopulley {

/*! @brief Reads the body of a request for an explanation; nothing if it is malformed. */
[[nodiscard]] std::optional<explained_request> parse_question(std::string_view body);

/*! @brief Serves the state and the metrics of this instance to its operators. */
class operator_service {
public:
    /*! @brief The parts whose state is served; they must outlive the service. */
    struct dependencies {
        std::string instance_name{};
        std::uint64_t incarnation{};
        const metrics& exported_metrics;
        const decision_log& log;
        const platform_client& store;
        const platform_follower& follower;
        const evacuation_follower& evacuations;
        const fleet& members;
        const forwarder& requests;
        const team_quotas& quotas;
        const async_http_server& callers;
        const memory_budget& body_memory;
        std::function<bool()> ready{};
        std::function<bool()> stopping{};
    };

    explicit operator_service(dependencies used);

    /*! @brief Responds to `/metrics` (Prometheus text), `/state` (JSON) and `POST /explain` (JSON), 404 to any other
     * request. */
    void answer(http_server_exchange& exchange) const;

private:
    [[nodiscard]] nlohmann::json describe() const;
    [[nodiscard]] http_reply explain(const http_request& request) const;

    dependencies deps;
};

} // namespace mangopulley
