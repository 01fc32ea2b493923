#pragma once

namespace mangopulley {

enum class attempt_outcome : unsigned char;
struct call_request;
struct dispatcher_snapshot;
struct observation;
struct queue_error;
struct target_record;
struct target_view;
struct wait_request;
class answer_times;
class call_runner;
class cancel_pool;
class dispatcher;
class hedge_budget;
class policy;
class retry_budget;
class second_claim;
class slot;
class target_table;
class wait_queue;

} // namespace mangopulley
