#pragma once

namespace mangopulley {

class body_decoder;
class http_channel;
class http_server;
class http_session;
class memory_budget;
class memory_reservation;
class request_parser;
class response_parser;
struct body_part;
struct http_limits;
struct http_reply;
struct http_request;
struct http_response;

} // namespace mangopulley
