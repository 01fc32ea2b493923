#include "call_runner.hpp"

#include <algorithm>
#include <atomic>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

namespace mangopulley {

namespace internal {

// While a hedge is due but no target is free, the thread looks this often whether its claim was served.
constexpr auto hedge_pause = std::chrono::milliseconds{1};
// A target that refuses the connection costs others nothing, but the search for one that accepts has to end.
constexpr std::uint32_t most_reconnects = 3U;

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

/*! @brief Runs a function that returns a result and turns a failure into a value. */
template <typename Value, typename Function>
[[nodiscard]] std::variant<Value, target_error> settle(Function&& function) {
    return boost::leaf::try_handle_all(
        [&]() -> result<std::variant<Value, target_error>> {
            BOOST_LEAF_AUTO(value, function());
            return std::variant<Value, target_error>{std::move(value)};
        },
        [](const target_error& error) { return std::variant<Value, target_error>{error}; },
        // A failure of an unknown type tells nothing of the request, so it may have run.
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

/*! @brief One call on its way. */
class call_runner::implementation::run_state {
public:
    run_state(implementation& runner, const call_request& request)
        : parts{runner}, call{request}, message{request.rule.name,      {},
                                                request.body,           request.content_type,
                                                request.traceparent,    request.deadline,
                                                request.rule.idempotent},
          chain_budget{request.retry_budget} {}

    [[nodiscard]] result<target_answer> run() {
        this->parts.retries.first_try();
        this->parts.hedges.first_try();
        BOOST_LEAF_AUTO(right, this->parts.queue.acquire(this->wanted()));
        while (true) {
            if (auto answer = this->try_target(std::move(right))) {
                return std::move(*answer);
            }
            if (!this->may_repeat()) {
                break;
            }
            if (auto other = this->parts.queue.try_acquire_other(this->wanted(), this->tried)) {
                right = std::move(*other);
                continue;
            }
            auto any = this->parts.queue.acquire(this->wanted());
            if (!any) {
                break;
            }
            right = std::move(*any);
        }
        if (this->bad_answer) {
            return std::move(*this->bad_answer);
        }
        return boost::leaf::new_error(std::move(*this->failure));
    }

private:
    struct attempt {
        slot right{};
        std::unique_ptr<exchange> open{};
        bool second{};
    };

    [[nodiscard]] wait_request wanted() const noexcept {
        return {this->call.rule.name,
                this->call.owner,
                this->call.work,
                this->call.rule.worth,
                this->call.rule.idempotent,
                this->call.rule.idempotent && this->parts.hedges.available(),
                this->call.deadline};
    }

    void note(const target_error& error) {
        this->last_code = error.code;
        // A failure of an attempt that may have run is never covered by one of an attempt that did not.
        if (!this->failure || (this->failure->not_run() && !error.not_run())) {
            this->failure = error;
        }
    }

    /*! @brief Decides on another attempt after all former ones have failed, and pays for it. */
    [[nodiscard]] bool may_repeat() {
        if (!this->call.rule.idempotent && !this->failure->not_run()) {
            return false;
        }
        if (this->parts.time.now() + this->parts.queue.expected_time(this->call.rule.name) >= this->call.deadline) {
            return false;
        }
        if (this->last_code == target_error::code::not_sent && this->reconnects < internal::most_reconnects) {
            ++this->reconnects;
            ++this->parts.reconnected;
            return true;
        }
        if (this->chain_budget == 0U || !this->parts.retries.try_spend()) {
            return false;
        }
        --this->chain_budget;
        ++this->parts.retried;
        return true;
    }

    [[nodiscard]] bool begin(slot right, const bool second) {
        this->message.request_id = this->call.request_id + '-' + std::to_string(++this->number);
        this->tried.push_back(right.target_id());
        ++this->parts.attempts;
        auto begun = internal::settle<std::unique_ptr<exchange>>(
            [&] { return this->parts.client.begin(right.endpoint(), this->message); });
        if (const auto* error = std::get_if<target_error>(&begun)) {
            this->note(*error);
            right.finish({internal::outcome_of(*error), std::nullopt, error->draining, std::nullopt});
            return false;
        }
        this->open.push_back({std::move(right), std::move(std::get<0>(begun)), second});
        return true;
    }

    [[nodiscard]] bool try_hedge(std::optional<second_claim>& claim) {
        if (!this->parts.hedges.available()) {
            // A claim that could not be paid would keep a target idle.
            claim.reset();
            return false;
        }
        if (!claim) {
            claim.emplace(this->parts.queue, this->wanted(), this->tried);
        }
        auto other = claim->poll();
        if (!other) {
            return false;
        }
        claim.reset();
        if (!this->parts.hedges.try_spend()) {
            return false;
        }
        ++this->parts.hedged;
        static_cast<void>(this->begin(std::move(*other), true));
        return true;
    }

    void give_up(attempt& item, const attempt_outcome outcome) {
        this->parts.cancellations.submit(std::move(item.open), std::move(item.right),
                                         {outcome, std::nullopt, false, this->parts.time.now()});
    }

    /*! @brief Reads the answer of an attempt that is ready; returns it when it ends the call. */
    [[nodiscard]] std::optional<target_answer> collect(const std::size_t index) {
        auto item = std::move(this->open[index]);
        this->open.erase(this->open.begin() + static_cast<std::ptrdiff_t>(index));
        auto received = internal::settle<target_answer>([&] { return item.open->receive(this->call.deadline); });
        if (const auto* error = std::get_if<target_error>(&received)) {
            this->note(*error);
            if (error->code == target_error::code::timed_out) {
                this->give_up(item, attempt_outcome::timed_out);
            } else {
                item.right.finish({internal::outcome_of(*error), std::nullopt, error->draining, std::nullopt});
            }
            return std::nullopt;
        }
        auto& answer = std::get<target_answer>(received);
        const bool bad = answer.status >= 500;
        item.right.finish({bad ? attempt_outcome::server_error : attempt_outcome::answered, answer.load,
                           answer.draining, std::nullopt});
        if (bad && this->call.rule.idempotent) {
            this->note({target_error::code::broken, item.right.endpoint(), "server error", answer.draining});
            this->bad_answer = std::move(answer);
            return std::nullopt;
        }
        this->parts.hedge_wins += item.second ? 1U : 0U;
        return std::move(answer);
    }

    /*! @brief Sends the request to a target, and to a second one when the first is slow. */
    [[nodiscard]] std::optional<target_answer> try_target(slot right) {
        if (!this->begin(std::move(right), false)) {
            return std::nullopt;
        }
        bool hedge_allowed = this->call.rule.idempotent;
        time_point next_hedge{};
        std::optional<second_claim> claim{};
        std::vector<exchange*> waiting{};
        while (!this->open.empty()) {
            const auto now = this->parts.time.now();
            if (now >= this->call.deadline) {
                this->note(
                    {target_error::code::timed_out, this->open.front().right.endpoint(), "deadline passed", false});
                break;
            }
            auto until = this->call.deadline;
            if (hedge_allowed) {
                // One request in 20 passes the 95th percentile by nature; what is saved of the budget is for stalls.
                const bool suspects_only = !this->parts.hedges.plentiful();
                next_hedge =
                    std::max(next_hedge, this->parts.queue.hedge_time(this->open.front().right, suspects_only));
                if (next_hedge <= now) {
                    if (this->try_hedge(claim)) {
                        hedge_allowed = false;
                        continue;
                    }
                    next_hedge = now + internal::hedge_pause;
                }
                until = std::min(until, next_hedge);
            }
            waiting.clear();
            for (const auto& item : this->open) {
                waiting.push_back(item.open.get());
            }
            if (const auto ready = this->parts.client.wait_any(waiting, until)) {
                hedge_allowed = hedge_allowed && *ready != 0U;
                if (auto answer = this->collect(*ready)) {
                    this->give_up_all(attempt_outcome::cancelled);
                    return answer;
                }
            }
        }
        this->give_up_all(attempt_outcome::timed_out);
        return std::nullopt;
    }

    void give_up_all(const attempt_outcome outcome) {
        for (auto& item : this->open) {
            this->give_up(item, outcome);
        }
        this->open.clear();
    }

    implementation& parts;
    const call_request& call;
    target_request message;
    std::vector<attempt> open{};
    std::vector<std::string> tried{};
    std::optional<target_error> failure{};
    std::optional<target_answer> bad_answer{};
    enum target_error::code last_code{target_error::code::broken};
    std::uint32_t chain_budget;
    std::uint32_t reconnects{};
    std::uint32_t number{};
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
