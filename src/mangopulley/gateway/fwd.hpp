#pragma once

namespace mangopulley {

class async_http_server;
class channel_pool;
class departed_targets;
class dialect;
class fleet;
class forwarder;
class gateway_process;
class http_server_exchange;
class platform_client;
class evacuation_follower;
class platform_follower;
class fleet_retry_budget;
class request_scheduler;
class route_table;
class target_pool;
class team_quotas;
class usable_targets;
struct config_id;
struct listed_target;
struct load_reading;
struct request_rejection;
struct routing_config;
struct store_position;
struct target_list;

} // namespace mangopulley
