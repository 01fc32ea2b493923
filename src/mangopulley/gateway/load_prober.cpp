#include "load_prober.hpp"

#include <unordered_map>
#include <utility>

#include "forwarded_head.hpp"

namespace mangopulley {

namespace internal {

namespace {

// Health responses are empty or short; anything longer is no health response.
constexpr std::size_t longest_probe_response = 4'096U;

struct open_probe {
    std::string target{};
    std::string endpoint{};
    std::unique_ptr<http_channel> channel{};
    load_prober::completion done{};
    timer_id timeout{};
    time_point started{};
    bool reused_connection{};
};

} // namespace

} // namespace internal

struct load_prober::implementation {
    event_loop& loop;
    const dialect& wire_dialect;
    channel_pool& channels;
    std::unordered_map<std::uint64_t, internal::open_probe> open{};
    std::uint64_t sent{};

    void finish(const std::uint64_t probe_id, exchange_outcome&& outcome) {
        const auto position = this->open.find(probe_id);
        if (position == this->open.end()) {
            return;
        }
        auto probe = std::move(position->second);
        this->open.erase(position);
        this->loop.cancel(probe.timeout);
        probe_result probed{};
        probed.elapsed = this->loop.now() - probe.started;
        probed.inconclusive = probe.reused_connection && outcome.failure == network_error::code::broken;
        if (!outcome.failure) {
            const auto metadata = this->wire_dialect.read_response(outcome.response);
            probed.reached = metadata.target_id.empty() || metadata.target_id == probe.target;
            if (probed.reached) {
                probed.load = metadata.load;
                probed.advice = metadata.advice;
                probed.warm_up = metadata.warm_up;
            } else if (probe.reused_connection) {
                // The connection may lead to a former process, while the present one accepts at the address.
                probed.inconclusive = true;
            } else {
                probed.other_target = metadata.target_id;
            }
            if (outcome.reusable && !probed.inconclusive) {
                this->channels.release(probe.endpoint, std::move(probe.channel));
            }
        }
        probe.done(probed);
    }
};

load_prober::load_prober(event_loop& loop, const dialect& wire_dialect, channel_pool& channels)
    : self{std::make_unique<implementation>(implementation{loop, wire_dialect, channels})} {}

load_prober::~load_prober() {
    for (const auto& [probe_id, probe] : this->self->open) {
        this->self->loop.cancel(probe.timeout);
    }
}

void load_prober::probe(const listed_target& target, const std::string& path, const duration timeout, completion done) {
    auto& state = *this->self;
    const auto probe_id = ++state.sent;
    auto& probe = state.open[probe_id];
    probe.target = target.id;
    probe.endpoint = target.endpoint;
    probe.channel = state.channels.take(target.endpoint, {});
    probe.reused_connection = probe.channel->opened();
    probe.done = std::move(done);
    probe.started = state.loop.now();
    probe.timeout = state.loop.after(timeout, [&state, probe_id] {
        exchange_outcome outcome{};
        outcome.failure = network_error::code::timed_out;
        state.finish(probe_id, std::move(outcome));
    });
    const auto head = health_request(path, target.endpoint);
    outgoing_request request{};
    request.head = head;
    request.longest_held_response = internal::longest_probe_response;
    probe.channel->send(
        request,
        // A probe has no request id; a response with one is a late answer to an earlier request on this connection.
        [&state](const http_response& response) {
            return state.wire_dialect.read_response(response).request_id.empty();
        },
        [&state, probe_id](exchange_outcome&& outcome) {
            if (outcome.body_follows) {
                outcome.failure = network_error::code::malformed;
            }
            state.finish(probe_id, std::move(outcome));
        });
}

std::uint64_t load_prober::sent() const noexcept {
    return this->self->sent;
}

} // namespace mangopulley
