#pragma once

namespace mangopulley {

class instance_selector;
class drain_notices;
class heartbeat_service;
class member_table;
class catalogue_freshness;
enum class evidence : unsigned char;
enum class liveness : unsigned char;
enum class member_state : unsigned char;
enum class freshness_state : unsigned char;
struct contact_counts;
struct heartbeat;
struct member;
struct member_digest;
struct service_demand;

} // namespace mangopulley
