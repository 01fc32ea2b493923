#include "attempt_sender.hpp"

#include <utility>

#include "forwarded_head.hpp"
#include "response_verdict.hpp"

namespace mangopulley::internal {

namespace {

// A response that breaks off while it is held can still be replaced by another attempt's.
constexpr std::size_t longest_held_response = 131'072U;

} // namespace

void attempt_sender::connect(transaction& owner, attempt& next) const {
    const auto& target = next.target->listing;
    next.channel = this->deps.channels.take(target.endpoint, owner.metadata.request_id);
    next.reused_connection = next.channel->opened();
    owner.tried_targets.push_back(target.id);
    owner.tried_connections.push_back(target.endpoint + (next.reused_connection ? "/kept" : "/new"));
}

void attempt_sender::send(const transaction& owner, const attempt& next, http_channel::completion done) const {
    const auto& request = owner.exchange->request();
    const bool body_held = owner.exchange->body_held();
    const forwarding_fields fields{next.target->listing, owner.deadline - next.sent_at,
                                   owner.team == nullptr ? std::string_view{} : std::string_view{owner.team->name},
                                   owner.config->teams.empty()};
    const auto head = forwarded_request_head(request, body_held, this->deps.wire_dialect, fields);
    const auto beginning = body_held ? std::string{} : forwarded_body_part(request, {request.body});
    next.channel->send(
        {head, body_held ? request.body : beginning, !body_held, request.is_head(), longest_held_response,
         owner.metadata.request_id},
        [this, id = owner.metadata.request_id, target = next.target, reused = next.reused_connection](
            const http_response& response) { return this->accept_or_discard(response, id, reused, target->listing); },
        std::move(done));
}

bool attempt_sender::accept_or_discard(const http_response& response, const std::string& id, const bool reused,
                                       const listed_target& target) const {
    const auto metadata = this->deps.wire_dialect.read_response(response);
    if (answers_request(metadata, id, reused)) {
        return true;
    }
    this->deps.log.request("response_discarded", {{"request_id", id},
                                                  {"found_id", metadata.request_id},
                                                  {"status", std::to_string(response.status())},
                                                  {"not_executed", metadata.not_executed ? "yes" : "no"},
                                                  {"target", target.id},
                                                  {"endpoint", target.endpoint}});
    this->deps.metric_sink.count("responses_discarded_total");
    return false;
}

} // namespace mangopulley::internal
