#include "service_runtime.hpp"

#include "../core/incarnation_id.hpp"
#include "../routing/policy.hpp"

namespace mangopulley {

namespace internal {

/*! @brief Seed of a policy; instances must not choose alike, so it differs from process to process. */
[[nodiscard]] std::uint64_t policy_seed() {
    return incarnation_id::generate().value();
}

} // namespace internal

service_runtime::service_runtime(const service_entry& entry, target_client& targets, cancel_pool& cancellations,
                                 const clock& time, const dispatcher::draining_listener& listener)
    : service{entry.name}, queue{entry, make_policy(entry.policy, internal::policy_seed()), time, listener},
      calls{this->queue, targets, this->retries, this->hedges, cancellations, time} {}

void service_runtime::configure(const service_entry& entry) {
    const bool changed = this->queue.describe().policy != entry.policy;
    this->queue.configure(entry, changed ? make_policy(entry.policy, internal::policy_seed()) : nullptr);
}

} // namespace mangopulley
