#pragma once

namespace mangopulley {

class http_server;
struct http_limits;
struct http_reply;
struct http_request;

} // namespace mangopulley
