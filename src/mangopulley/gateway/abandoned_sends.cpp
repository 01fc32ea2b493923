#include "abandoned_sends.hpp"

#include <optional>
#include <unordered_map>
#include <utility>

namespace mangopulley::internal {

namespace {

struct abandoned_send {
    attempt left{};
    std::string service{};
    timer_id timer{};
};

} // namespace

struct abandoned_sends::implementation {
    parts environment;
    std::unordered_map<std::uint64_t, abandoned_send> sends{};
};

abandoned_sends::abandoned_sends(const parts& used) : self{std::make_unique<implementation>(implementation{used})} {}

abandoned_sends::~abandoned_sends() {
    for (const auto& [number, item] : this->self->sends) {
        this->self->environment.loop.cancel(item.timer);
    }
}

void abandoned_sends::keep(const std::string& service, attempt&& sent) {
    auto& state = *this->self;
    const auto number = sent.number;
    auto& item = state.sends[number];
    item.service = service;
    item.left = std::move(sent);
    item.timer = state.environment.loop.after(state.environment.longest, [this, number] {
        exchange_outcome unanswered{};
        unanswered.failure = network_error::code::timed_out;
        this->settle(number, std::move(unanswered));
    });
}

void abandoned_sends::settle(const std::uint64_t number, exchange_outcome&& outcome) {
    auto& state = *this->self;
    auto found = state.sends.extract(number);
    if (found.empty()) {
        return;
    }
    auto& item = found.mapped();
    auto& used = state.environment;
    used.loop.cancel(item.timer);
    std::optional<load_reading> load{};
    if (!outcome.failure) {
        load = used.speech.read_response(outcome.response).load;
        if (outcome.reusable) {
            used.channels.give_back(item.left.target->listing.endpoint, std::move(item.left.channel));
        }
    }
    used.lines.end(item.service, *item.left.target, outcome.failure ? send_outcome::failed : send_outcome::answered,
                   load, used.loop.now() - item.left.begun);
    used.lines.advance(item.service);
}

} // namespace mangopulley::internal
