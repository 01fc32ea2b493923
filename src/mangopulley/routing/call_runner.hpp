#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "../catalogue/catalogue_document.hpp"
#include "../core/clock.hpp"
#include "../core/error.hpp"
#include "../target/target_client.hpp"
#include "cancel_pool.hpp"
#include "dispatcher.hpp"
#include "fwd.hpp"
#include "hedge_budget.hpp"
#include "retry_budget.hpp"

namespace mangopulley {

/*! @brief Call to a service. */
struct call_request {
    kind_rule rule{};
    std::string body{};
    std::string content_type{"application/octet-stream"};
    /*! @brief Request id; each attempt appends its number. */
    std::string request_id{};
    std::string traceparent{};
    time_point deadline{};
    /*! @brief Retries left to the chain of calls that this call is part of. */
    std::uint32_t retry_budget{};
    /*! @brief Owner of the call; the owner of the service when empty. */
    std::string owner{};
    work_class work{work_class::normal};
};

/*! @brief Totals since process start, for metrics and the state dump. */
struct call_counts {
    std::uint64_t calls{};
    std::uint64_t attempts{};
    std::uint64_t retries{};
    /*! @brief Retries after no byte could be sent to the previous target; not charged to the retry budget. */
    std::uint64_t reconnects{};
    std::uint64_t hedges{};
    /*! @brief Calls answered by the hedge. */
    std::uint64_t hedge_wins{};
};

/**
 * @brief Runs calls to one service, with retries and hedging.
 *
 * A non-idempotent request is retried only when the previous attempt provably did not run, and is never hedged. All
 * objects passed to the constructor must outlive the runner. Thread-safe.
 */
class call_runner {
public:
    call_runner(dispatcher& queue, target_client& client, retry_budget& retries, hedge_budget& hedges,
                cancel_pool& cancellations, const clock& time);
    call_runner(const call_runner&) = delete;
    call_runner& operator=(const call_runner&) = delete;
    ~call_runner();

    /**
     * @brief Runs a call on the calling thread.
     *
     * A response with a status of 500 or above is returned unchanged when no attempt succeeded.
     *
     * @param call Call.
     * @return The complete response; `queue_error` when no attempt was made; otherwise `target_error`, whose `not_run`
     * is true only when no attempt ran.
     */
    [[nodiscard]] result<target_answer> run(const call_request& call);

    [[nodiscard]] call_counts counts() const noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
