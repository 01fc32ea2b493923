#include "peer_service.hpp"

#include <optional>
#include <utility>

#include "../core/whole_number.hpp"
#include "document_codec.hpp"

namespace mangopulley {

peer_service::peer_service(const platform_follower& documents, std::function<std::vector<known_instance>()> instances)
    : follower{documents}, known{std::move(instances)} {}

std::string peer_service::targets_for(const http_request& request) const {
    if (const auto since = request.parameter("since")) {
        const auto digest = parse_whole<std::uint64_t>(*since);
        if (const auto changes = digest ? this->follower.changes_since(*digest) : std::nullopt) {
            return encode_changes(*changes);
        }
    }
    return encode_targets(this->follower.listed());
}

void peer_service::answer(http_server_exchange& exchange) const {
    http_reply reply{};
    reply.content_type = "application/msgpack";
    const auto& path = exchange.request().path;
    if (path == "/config" && this->follower.config().loaded()) {
        reply.body = encode_config(this->follower.config());
    } else if (path == "/targets" && this->follower.initialized()) {
        reply.body = this->targets_for(exchange.request());
    } else if (path == "/departed") {
        reply.body = encode_departed(this->follower.departed());
    } else if (path == "/members") {
        reply.body = encode_members(this->known());
    } else {
        reply.status = 404;
    }
    exchange.respond(reply);
}

} // namespace mangopulley
