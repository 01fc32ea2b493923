#pragma once

namespace mangopulley {

enum class attempt_outcome : unsigned char;
struct attempt_report;
struct call_request;
struct dispatcher_snapshot;
struct hedge_limits;
struct queue_error;
struct target_record;
struct target_view;
struct wait_request;
class call_runner;
class cancel_pool;
class dispatcher;
class hedge_budget;
class hedge_claim;
class policy;
class response_times;
class retry_budget;
class slot;
class target_table;
class wait_queue;

} // namespace mangopulley
