#include "request_upload.hpp"

#include <algorithm>
#include <utility>

#include "../http/http_channel.hpp"
#include "forwarded_head.hpp"

namespace mangopulley::internal {

namespace {

void send_next_part(const std::shared_ptr<transaction>& owner, const std::uint64_t number) {
    const auto* attempt = find_attempt(*owner, number);
    if (attempt == nullptr || attempt->channel->request_complete() || !attempt->channel->all_sent()) {
        return;
    }
    owner->exchange->read_body([owner, number](body_part&& part) {
        owner->body_passed_on = true;
        const auto* current = find_attempt(*owner, number);
        if (current == nullptr) {
            return;
        }
        const bool last = part.position == body_part::state::last;
        current->channel->send_body(forwarded_body_part(owner->exchange->request(), std::move(part)), last);
        send_next_part(owner, number);
    });
}

} // namespace

attempt* find_attempt(transaction& owner, const std::uint64_t number) noexcept {
    const auto position = std::find_if(owner.open_attempts.begin(), owner.open_attempts.end(),
                                       [number](const auto& attempt) { return attempt.number == number; });
    return position == owner.open_attempts.end() ? nullptr : &*position;
}

void upload_body(const std::shared_ptr<transaction>& owner, const std::uint64_t number) {
    auto* attempt = find_attempt(*owner, number);
    if (attempt == nullptr || owner->exchange->body_held()) {
        return;
    }
    // The channel belongs to the transaction, so it must not keep the transaction alive.
    attempt->channel->on_sent([held = std::weak_ptr<transaction>{owner}, number] {
        if (const auto transaction = held.lock()) {
            send_next_part(transaction, number);
        }
    });
    send_next_part(owner, number);
}

void stop_upload(const transaction& owner) {
    if (!owner.exchange->body_held()) {
        owner.exchange->read_body({});
    }
}

} // namespace mangopulley::internal
