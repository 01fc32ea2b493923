#include "abandoned_attempts.hpp"

#include <optional>
#include <unordered_map>
#include <utility>

#include "response_verdict.hpp"

namespace mangopulley::internal {

namespace {

struct abandoned_attempt {
    attempt sent_attempt{};
    std::string service{};
    timer_id timer{};
};

} // namespace

struct abandoned_attempts::implementation {
    dependencies deps;
    std::unordered_map<std::uint64_t, abandoned_attempt> entries{};
};

abandoned_attempts::abandoned_attempts(const dependencies& deps)
    : self{std::make_unique<implementation>(implementation{deps})} {}

abandoned_attempts::~abandoned_attempts() {
    for (const auto& [number, entry] : this->self->entries) {
        this->self->deps.loop.cancel(entry.timer);
    }
}

void abandoned_attempts::add(const std::string& service, attempt&& attempt) {
    auto& state = *this->self;
    const auto number = attempt.number;
    auto& entry = state.entries[number];
    entry.service = service;
    entry.sent_attempt = std::move(attempt);
    entry.timer = state.deps.loop.after(state.deps.timeout, [this, number] {
        exchange_outcome timeout{};
        timeout.failure = network_error::code::timed_out;
        this->complete(number, std::move(timeout));
    });
}

void abandoned_attempts::complete(const std::uint64_t number, exchange_outcome&& outcome) {
    auto& state = *this->self;
    auto found = state.entries.extract(number);
    if (found.empty()) {
        return;
    }
    auto& entry = found.mapped();
    auto& deps = state.deps;
    deps.loop.cancel(entry.timer);
    std::optional<load_reading> load{};
    if (!outcome.failure) {
        const auto metadata = deps.wire_dialect.read_response(outcome.response);
        load = metadata.load;
        auto& attempt = entry.sent_attempt;
        const auto verdict = verdict_of(outcome.response, metadata);
        deps.services.record_statements(entry.service, *attempt.target, {metadata, verdict, attempt.reused_connection});
        if (outcome.reusable && leaves_connection_usable(verdict, attempt.reused_connection)) {
            deps.channels.release(attempt.target->listing.endpoint, std::move(attempt.channel));
        }
    }
    deps.services.end(entry.service, *entry.sent_attempt.target,
                      outcome.failure ? send_outcome::failed : send_outcome::succeeded, load,
                      deps.loop.now() - entry.sent_attempt.sent_at);
    deps.services.advance(entry.service);
}

} // namespace mangopulley::internal
