#pragma once

namespace mangopulley {

class body_decoder;
class http_channel;
class http_server;
class request_parser;
class response_parser;
struct http_limits;
struct http_reply;
struct http_request;
struct http_response;

} // namespace mangopulley
