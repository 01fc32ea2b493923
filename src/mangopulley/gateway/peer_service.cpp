#include "peer_service.hpp"

#include <utility>

#include "document_codec.hpp"

namespace mangopulley {

peer_service::peer_service(const platform_follower& documents, std::function<std::vector<known_instance>()> instances)
    : follower{documents}, known{std::move(instances)} {}

void peer_service::answer(caller_exchange& exchange) const {
    http_reply reply{};
    reply.content_type = "application/msgpack";
    const auto& path = exchange.request().path;
    if (path == "/config" && this->follower.config().revision > 0U) {
        reply.body = encode_config(this->follower.config());
    } else if (path == "/targets" && this->follower.informed()) {
        reply.body = encode_targets(this->follower.listed());
    } else if (path == "/members") {
        reply.body = encode_members(this->known());
    } else {
        reply.status = 404;
    }
    exchange.answer(reply);
}

} // namespace mangopulley
