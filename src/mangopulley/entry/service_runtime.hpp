#pragma once

#include <string>
#include <string_view>

#include "../catalogue/catalogue_document.hpp"
#include "../core/clock.hpp"
#include "../routing/call_runner.hpp"
#include "../routing/cancel_pool.hpp"
#include "../routing/dispatcher.hpp"
#include "../routing/hedge_budget.hpp"
#include "../routing/retry_budget.hpp"
#include "../target/target_client.hpp"
#include "fwd.hpp"

namespace mangopulley {

/*! @brief What runs for one service of the catalogue: its queue, its budgets and its calls. */
class service_runtime {
public:
    /**
     * @brief Begins without targets.
     * @param entry Catalogue entry.
     * @param targets Access to targets; must outlive the runtime.
     * @param cancellations Sends cancellations; must outlive the runtime.
     * @param time Clock; must outlive the runtime.
     * @param listener Called with the id of a target that says that it drains.
     */
    service_runtime(const service_entry& entry, target_client& targets, cancel_pool& cancellations, const clock& time,
                    const dispatcher::draining_listener& listener);

    /*! @brief Puts a changed catalogue entry in force. */
    void configure(const service_entry& entry);

    /*! @brief Runs a call; see `call_runner::run`. */
    [[nodiscard]] result<target_answer> run(const call_request& call) { return this->calls.run(call); }

    [[nodiscard]] std::string_view name() const noexcept { return this->service; }
    [[nodiscard]] dispatcher& requests() noexcept { return this->queue; }
    [[nodiscard]] call_counts counts() const noexcept { return this->calls.counts(); }

private:
    std::string service;
    dispatcher queue;
    /*! @brief Begins with a few tokens: at low traffic a first shed request could not move to another target. */
    retry_budget retries{0.10, 50U, 10U};
    hedge_budget hedges{};
    call_runner calls;
};

} // namespace mangopulley
