#pragma once

namespace mangopulley {

class exchange;
class http_target_client;
class target_client;
struct load_report;
struct target_answer;
struct target_error;
struct target_request;

} // namespace mangopulley
