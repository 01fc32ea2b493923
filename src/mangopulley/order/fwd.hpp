#pragma once

namespace mangopulley {

class anchored_clock;
class incarnation_directory;
class ledger;
class order_archive;
class order_runner;
class order_service;
class store_status;
class witness_table;
enum class order_reason : unsigned char;
enum class order_state : unsigned char;
struct order_key;
struct order_outcome;
struct order_request;
struct order_token;

} // namespace mangopulley
