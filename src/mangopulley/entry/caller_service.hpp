#pragma once

#include <memory>

#include "../catalogue/catalogue_holder.hpp"
#include "../core/clock.hpp"
#include "../http/http_message.hpp"
#include "../limit/admission.hpp"
#include "../limit/alert_gate.hpp"
#include "../membership/catalogue_freshness.hpp"
#include "../membership/instance_selector.hpp"
#include "../observe/metrics.hpp"
#include "../order/order_service.hpp"
#include "../order/store_status.hpp"
#include "service_table.hpp"

namespace mangopulley {

/*! @brief Time for which a caller may keep an address list. */
inline constexpr milliseconds address_lifetime{5'000};

/*! @brief Answers callers: address lists, requests, and questions about orders. Thread-safe. */
class caller_service {
public:
    /*! @brief Parts that the service works with; all must outlive it. */
    struct parts {
        const clock& time;
        const catalogue_holder& catalogue;
        const instance_selector& selector;
        const member_table& members;
        const catalogue_freshness& freshness;
        admission& limits;
        alert_gate& alerts;
        const store_status& store;
        service_table& services;
        order_service& orders;
        metrics& numbers;
    };

    /*! @brief Prepares the service. */
    explicit caller_service(const parts& environment);
    caller_service(const caller_service&) = delete;
    caller_service& operator=(const caller_service&) = delete;
    ~caller_service();

    /*! @brief Answers one request; blocks while the request waits for a target. */
    [[nodiscard]] http_reply handle(const http_request& request);

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
