#pragma once

namespace mangopulley {

class admission;
class alert_gate;
class alert_sender;
class http_alert_sender;
class permit;
class share_table;
class token_bucket;
enum class limit_kind : unsigned char;
struct alert;
struct refusal_error;

} // namespace mangopulley
