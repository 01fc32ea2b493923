#include "call_runner.hpp"

#include <algorithm>
#include <atomic>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

namespace mangopulley {

namespace internal {

// While a hedge is due but no target is free, the thread polls its hedge claim at this interval.
constexpr auto hedge_poll_interval = std::chrono::milliseconds{1};
// A refused connection adds no load to other targets, but the search for one that accepts must end.
constexpr std::uint32_t max_reconnects = 3U;

[[nodiscard]] attempt_outcome outcome_of(const target_error& error) noexcept {
    using code = enum target_error::code;
    switch (error.code) {
    case code::not_sent:
        return attempt_outcome::not_sent;
    case code::shed:
        return attempt_outcome::shed;
    case code::timed_out:
        return attempt_outcome::timed_out;
    case code::cancelled:
        return attempt_outcome::cancelled;
    default:
        return attempt_outcome::broken;
    }
}

/*! @brief Runs a function that returns a result and converts a failure into a value. */
template <typename Value, typename Function>
[[nodiscard]] std::variant<Value, target_error> to_variant(Function&& function) {
    return boost::leaf::try_handle_all(
        [&]() -> result<std::variant<Value, target_error>> {
            BOOST_LEAF_AUTO(value, function());
            return std::variant<Value, target_error>{std::move(value)};
        },
        [](const target_error& error) { return std::variant<Value, target_error>{error}; },
        // An unknown type of failure does not prove that the request did not run.
        [] {
            return std::variant<Value, target_error>{target_error{target_error::code::broken, {}, "unknown", false}};
        });
}

} // namespace internal

struct call_runner::implementation {
    dispatcher& queue;
    target_client& client;
    retry_budget& retries;
    hedge_budget& hedges;
    cancel_pool& cancellations;
    const clock& time;
    std::atomic<std::uint64_t> calls{};
    std::atomic<std::uint64_t> attempts{};
    std::atomic<std::uint64_t> retried{};
    std::atomic<std::uint64_t> reconnected{};
    std::atomic<std::uint64_t> hedged{};
    std::atomic<std::uint64_t> hedge_wins{};

    class run_state;

    implementation(dispatcher& source, target_client& targets, retry_budget& retry_tokens, hedge_budget& hedge_tokens,
                   cancel_pool& cancels, const clock& now) noexcept
        : queue{source}, client{targets}, retries{retry_tokens}, hedges{hedge_tokens},
          cancellations{cancels}, time{now} {}
};

/*! @brief State of a call in progress. */
class call_runner::implementation::run_state {
public:
    run_state(implementation& owner, const call_request& request)
        : runner{owner}, call{request}, message{request.rule.name,      {},
                                                request.body,           request.content_type,
                                                request.traceparent,    request.deadline,
                                                request.rule.idempotent},
          chain_budget{request.retry_budget} {}

    [[nodiscard]] result<target_answer> run() {
        this->runner.retries.record_first_attempt();
        this->runner.hedges.record_first_attempt(this->runner.time.now());
        BOOST_LEAF_AUTO(target_slot, this->runner.queue.acquire(this->make_wait_request()));
        while (true) {
            if (auto answer = this->try_target(std::move(target_slot))) {
                return std::move(*answer);
            }
            if (!this->may_retry()) {
                break;
            }
            if (auto other = this->runner.queue.try_acquire_untried(this->make_wait_request(), this->tried_targets)) {
                target_slot = std::move(*other);
                continue;
            }
            auto any = this->runner.queue.acquire(this->make_wait_request());
            if (!any) {
                break;
            }
            target_slot = std::move(*any);
        }
        if (this->error_response) {
            return std::move(*this->error_response);
        }
        return boost::leaf::new_error(std::move(*this->failure));
    }

private:
    struct attempt {
        slot target_slot{};
        std::unique_ptr<exchange> open_exchange{};
        bool hedge{};
    };

    [[nodiscard]] wait_request make_wait_request() const noexcept {
        return {this->call.rule.name,
                this->call.owner,
                this->call.work,
                this->call.rule.worth,
                this->call.rule.idempotent,
                this->call.rule.idempotent && this->runner.hedges.available(this->runner.time.now()),
                this->call.deadline};
    }

    void record_failure(const target_error& error) {
        this->last_code = error.code;
        // The failure of an attempt that may have run is never replaced by that of an attempt that did not run.
        if (!this->failure || (this->failure->not_run() && !error.not_run())) {
            this->failure = error;
        }
    }

    /*! @brief Decides whether to retry after all attempts have failed, and charges the retry to the budgets. */
    [[nodiscard]] bool may_retry() {
        if (!this->call.rule.idempotent && !this->failure->not_run()) {
            return false;
        }
        if (this->runner.time.now() + this->runner.queue.expected_response_time(this->call.rule.name) >=
            this->call.deadline) {
            return false;
        }
        if (this->last_code == target_error::code::not_sent && this->reconnects < internal::max_reconnects) {
            ++this->reconnects;
            ++this->runner.reconnected;
            return true;
        }
        if (this->chain_budget == 0U || !this->runner.retries.try_spend()) {
            return false;
        }
        --this->chain_budget;
        ++this->runner.retried;
        return true;
    }

    [[nodiscard]] bool start_attempt(slot target_slot, const bool hedge) {
        this->message.request_id = this->call.request_id + '-' + std::to_string(++this->attempt_count);
        this->tried_targets.push_back(target_slot.target_id());
        ++this->runner.attempts;
        auto begun = internal::to_variant<std::unique_ptr<exchange>>(
            [&] { return this->runner.client.begin(target_slot.endpoint(), this->message); });
        if (const auto* error = std::get_if<target_error>(&begun)) {
            this->record_failure(*error);
            target_slot.finish({internal::outcome_of(*error), std::nullopt, error->draining, std::nullopt});
            return false;
        }
        this->in_flight.push_back({std::move(target_slot), std::move(std::get<0>(begun)), hedge});
        return true;
    }

    [[nodiscard]] bool try_hedge(std::optional<hedge_claim>& claim) {
        if (!this->runner.hedges.available(this->runner.time.now())) {
            // A claim without a token to spend would keep a target idle.
            claim.reset();
            return false;
        }
        if (!claim) {
            claim.emplace(this->runner.queue, this->make_wait_request(), this->tried_targets);
        }
        auto other = claim->poll();
        if (!other) {
            return false;
        }
        claim.reset();
        if (!this->runner.hedges.try_spend(this->runner.time.now())) {
            return false;
        }
        ++this->runner.hedged;
        static_cast<void>(this->start_attempt(std::move(*other), true));
        return true;
    }

    void abandon(attempt& item, const attempt_outcome outcome) {
        this->runner.cancellations.submit(std::move(item.open_exchange), std::move(item.target_slot),
                                          {outcome, std::nullopt, false, this->runner.time.now()});
    }

    /*! @brief Reads the response of an attempt that is ready; returns it when it completes the call. */
    [[nodiscard]] std::optional<target_answer> collect(const std::size_t index) {
        auto item = std::move(this->in_flight[index]);
        this->in_flight.erase(this->in_flight.begin() + static_cast<std::ptrdiff_t>(index));
        auto received =
            internal::to_variant<target_answer>([&] { return item.open_exchange->receive(this->call.deadline); });
        if (const auto* error = std::get_if<target_error>(&received)) {
            this->record_failure(*error);
            if (error->code == target_error::code::timed_out) {
                this->abandon(item, attempt_outcome::timed_out);
            } else {
                item.target_slot.finish({internal::outcome_of(*error), std::nullopt, error->draining, std::nullopt});
            }
            return std::nullopt;
        }
        auto& answer = std::get<target_answer>(received);
        const bool server_error = answer.status >= 500;
        item.target_slot.finish({server_error ? attempt_outcome::server_error : attempt_outcome::answered, answer.load,
                                 answer.draining, std::nullopt});
        if (server_error && this->call.rule.idempotent) {
            this->record_failure(
                {target_error::code::broken, item.target_slot.endpoint(), "server error", answer.draining});
            this->error_response = std::move(answer);
            return std::nullopt;
        }
        this->runner.hedge_wins += item.hedge ? 1U : 0U;
        return std::move(answer);
    }

    /*! @brief Sends the request to a target and hedges it when the target is slow. */
    [[nodiscard]] std::optional<target_answer> try_target(slot target_slot) {
        if (!this->start_attempt(std::move(target_slot), false)) {
            return std::nullopt;
        }
        bool hedge_allowed = this->call.rule.idempotent;
        time_point next_hedge{};
        std::optional<hedge_claim> claim{};
        std::vector<exchange*> exchanges{};
        while (!this->in_flight.empty()) {
            const auto now = this->runner.time.now();
            if (now >= this->call.deadline) {
                this->record_failure({target_error::code::timed_out, this->in_flight.front().target_slot.endpoint(),
                                      "deadline passed", false});
                break;
            }
            auto until = this->call.deadline;
            if (hedge_allowed) {
                // One request in 20 exceeds the 95th percentile in normal operation; half of the budget is reserved for
                // targets that stall.
                const bool suspects_only = !this->runner.hedges.half_full();
                next_hedge = std::max(
                    next_hedge, this->runner.queue.hedge_time(this->in_flight.front().target_slot, suspects_only));
                if (next_hedge <= now) {
                    if (this->try_hedge(claim)) {
                        hedge_allowed = false;
                        continue;
                    }
                    next_hedge = now + internal::hedge_poll_interval;
                }
                until = std::min(until, next_hedge);
            }
            exchanges.clear();
            for (const auto& item : this->in_flight) {
                exchanges.push_back(item.open_exchange.get());
            }
            if (const auto ready = this->runner.client.wait_any(exchanges, until)) {
                hedge_allowed = hedge_allowed && *ready != 0U;
                if (auto answer = this->collect(*ready)) {
                    this->abandon_all(attempt_outcome::cancelled);
                    return answer;
                }
            }
        }
        this->abandon_all(attempt_outcome::timed_out);
        return std::nullopt;
    }

    void abandon_all(const attempt_outcome outcome) {
        for (auto& item : this->in_flight) {
            this->abandon(item, outcome);
        }
        this->in_flight.clear();
    }

    implementation& runner;
    const call_request& call;
    target_request message;
    std::vector<attempt> in_flight{};
    std::vector<std::string> tried_targets{};
    std::optional<target_error> failure{};
    std::optional<target_answer> error_response{};
    enum target_error::code last_code{target_error::code::broken};
    std::uint32_t chain_budget;
    std::uint32_t reconnects{};
    std::uint32_t attempt_count{};
};

call_runner::call_runner(dispatcher& queue, target_client& client, retry_budget& retries, hedge_budget& hedges,
                         cancel_pool& cancellations, const clock& time)
    : self{std::make_unique<implementation>(queue, client, retries, hedges, cancellations, time)} {}

call_runner::~call_runner() = default;

result<target_answer> call_runner::run(const call_request& call) {
    ++this->self->calls;
    return implementation::run_state{*this->self, call}.run();
}

call_counts call_runner::counts() const noexcept {
    const auto& state = *this->self;
    return {state.calls, state.attempts, state.retried, state.reconnected, state.hedged, state.hedge_wins};
}

} // namespace mangopulley
