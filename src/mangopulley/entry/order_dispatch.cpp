#include "order_dispatch.hpp"

#include "../order/order_types.hpp"

namespace mangopulley {

result<target_answer> order_dispatch::run(const order_request& request) {
    const auto document = this->holder.current();
    const auto* service = document->find_service(request.service);
    const auto* kind = service == nullptr ? nullptr : service->find_kind(request.kind);
    const auto runtime = this->table.find(request.service);
    if (kind == nullptr || !runtime) {
        return boost::leaf::new_error(queue_error{queue_error::code::no_target, request.service, request.kind, {}});
    }
    call_request call{};
    call.rule = *kind;
    // The caller's instance classed the request as an order; a catalogue that changed meanwhile must not make a repeat
    // of it possible.
    call.rule.idempotent = false;
    call.body = request.body;
    call.content_type = request.content_type;
    call.request_id = request.request_id;
    call.traceparent = request.traceparent;
    call.deadline = request.deadline;
    call.retry_budget = request.retry_budget;
    call.work = service->work;
    return runtime->run(call);
}

} // namespace mangopulley
