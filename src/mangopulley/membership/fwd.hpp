#pragma once

namespace mangopulley {

class address_book;
class drain_notices;
class heartbeat_service;
class member_table;
class standing;
enum class evidence : unsigned char;
enum class liveness : unsigned char;
enum class member_state : unsigned char;
enum class standing_state : unsigned char;
struct contact_counts;
struct heartbeat;
struct member;
struct member_digest;
struct service_demand;

} // namespace mangopulley
