#include "forwarder.hpp"

#include <algorithm>
#include <iterator>
#include <unordered_set>
#include <utility>

#include <nlohmann/json.hpp>

#include "../http/field_names.hpp"
#include "abandoned_attempts.hpp"
#include "attempt_sender.hpp"
#include "forwarded_head.hpp"
#include "gateway_response.hpp"
#include "request_upload.hpp"
#include "response_relays.hpp"
#include "response_verdict.hpp"
#include "route_estimates.hpp"
#include "transaction.hpp"
#include "transaction_log.hpp"

namespace mangopulley {

namespace internal {

namespace {

using transaction_pointer = std::shared_ptr<transaction>;

constexpr double min_retry_work_share = 0.7;
constexpr std::uint32_t max_failed_connects = 4U;
constexpr duration prune_period{std::chrono::milliseconds{500}};
constexpr duration shortest_retry_after{std::chrono::milliseconds{100}};
// A target that rejects requests although it has free slots may accept the next one at any time.
constexpr duration free_target_retry_after{std::chrono::milliseconds{10}};
constexpr std::string_view answered{"answered"};
// Other instances serve a caller that a stopping one refuses.
constexpr duration other_instance_retry_after{std::chrono::milliseconds{10}};

} // namespace

} // namespace internal

struct forwarder::implementation {
    dependencies deps;
    forwarding_rule constants;
    channel_pool channels{this->deps.loop};
    service_queues services;
    route_estimates estimates{this->constants.initial_work_share};
    internal::attempt_sender sender{{this->deps.wire_dialect, this->channels, this->deps.metric_sink, this->deps.log}};
    std::unordered_set<internal::transaction_pointer> transactions{};
    internal::abandoned_attempts abandoned{
        {this->deps.loop, this->deps.wire_dialect, this->services, this->channels, this->constants.abandoned_timeout}};
    internal::response_relays relays{{this->deps.loop, this->channels, this->deps.metric_sink, this->deps.log}};
    std::uint64_t last_attempt{};
    std::uint64_t received{};
    std::uint64_t over_quota{};
    timer_id prune_timer{};
    std::optional<stop_schedule> stop{};
    /*! @brief Share of hedges; nothing if only the retry budget limits them. */
    std::optional<double> hedge_share{};

    implementation(const dependencies& references, const target_choice_rule& target_choice,
                   const scheduling_rule& scheduling, const forwarding_rule& forwarding)
        : deps{references}, constants{forwarding}, services{{references.loop, references.wire_dialect,
                                                             references.routes, this->channels, references.metric_sink,
                                                             references.log},
                                                            {target_choice, scheduling},
                                                            this->scheduling_callbacks()} {
        this->prune_timer = this->deps.loop.every(internal::prune_period, [this] { this->channels.prune(); });
    }

    ~implementation() {
        this->deps.loop.cancel(this->prune_timer);
        for (const auto& transaction : this->transactions) {
            this->deps.loop.cancel(transaction->deadline_timer);
            this->deps.loop.cancel(transaction->hedge_timer);
        }
    }

    [[nodiscard]] time_point now() const noexcept { return this->deps.loop.now(); }

    service_queues::callbacks scheduling_callbacks() {
        return {[this](const request_scheduler::request& request, const target_pool::handle& target) {
                    this->send(std::static_pointer_cast<internal::queue_entry>(request), target);
                },
                [this](const request_scheduler::request& request, const refusal& refused) {
                    this->refuse(std::static_pointer_cast<internal::queue_entry>(request), refused);
                }};
    }

    // Admission

    void handle(const std::shared_ptr<http_server_exchange>& exchange) {
        ++this->received;
        auto transaction = std::make_shared<internal::transaction>();
        transaction->exchange = exchange;
        const auto response =
            internal::prepare_transaction(*transaction, this->deps.wire_dialect, this->deps.routes, this->estimates);
        if (response) {
            this->respond(transaction, *response);
        } else if (this->may_outlast_process(transaction->deadline)) {
            transaction->retry_after = internal::other_instance_retry_after;
            this->respond(transaction, {503, "stopping"});
        } else if (!this->within_quota(*transaction)) {
            ++this->over_quota;
            transaction->retry_after = this->deps.quotas->retry_after(*transaction->team);
            this->respond(transaction, {429, "over_quota"});
        } else {
            this->admit(transaction);
        }
    }

    /*! @brief Counts a request in its team's quota; returns false if it is beyond it. */
    [[nodiscard]] bool within_quota(internal::transaction& transaction) const {
        if (this->deps.quotas == nullptr || transaction.team == nullptr) {
            return true;
        }
        transaction.counted_in_quota = this->deps.quotas->try_admit(*transaction.team);
        return transaction.counted_in_quota;
    }

    /*! @brief Returns whether a request with a deadline could still be in flight when the process ends. */
    [[nodiscard]] bool may_outlast_process(const time_point deadline) const {
        return this->stop && this->now() > this->stop->full_admission_end && deadline > this->stop->last_response;
    }

    void admit(const internal::transaction_pointer& transaction) {
        this->transactions.insert(transaction);
        if (this->stop) {
            transaction->deadline = std::min(transaction->deadline, this->stop->last_response);
        }
        this->schedule_deadline(transaction);
        transaction->exchange->on_disconnect([this, transaction] { this->handle_disconnect(transaction); });
        this->services.count_request(transaction->service);
        this->enqueue(transaction);
    }

    void schedule_deadline(const internal::transaction_pointer& transaction) {
        transaction->deadline_timer = this->deps.loop.after(
            transaction->deadline - this->now(), [this, transaction] { this->handle_deadline(transaction); });
    }

    void begin_stop(const stop_schedule& schedule) {
        this->stop = schedule;
        for (const auto& transaction : this->transactions) {
            if (transaction->deadline > schedule.last_response) {
                transaction->deadline = schedule.last_response;
                this->deps.loop.cancel(transaction->deadline_timer);
                this->schedule_deadline(transaction);
            }
        }
        this->relays.end_by(schedule.last_response);
    }

    /*! @brief Returns whether a request was in a queue before, here or in an earlier attempt of its caller. */
    [[nodiscard]] static bool is_returning(const internal::transaction& transaction) {
        return !transaction.tried_targets.empty() ||
               transaction.latency_goal < transaction.arrived + transaction.matched_route->latency_goal;
    }

    void enqueue(const internal::transaction_pointer& transaction) {
        auto entry = std::make_shared<internal::queue_entry>();
        entry->owner = transaction;
        entry->id = transaction->metadata.request_id;
        entry->priority = internal::queue_priority(*transaction);
        entry->team = transaction->team == nullptr ? std::string{} : transaction->team->name;
        entry->returning = is_returning(*transaction);
        entry->arrived = this->now();
        entry->latency_goal = transaction->latency_goal;
        entry->deadline = transaction->deadline;
        entry->work = this->estimates.expected_work(*transaction->matched_route);
        entry->tried = transaction->tried_targets;
        transaction->queue_entries.push_back(entry);
        this->services.submit(transaction->service, entry);
    }

    // Sending

    void send(const std::shared_ptr<internal::queue_entry>& entry, const target_pool::handle& target) {
        const auto transaction = entry->owner;
        std::erase(transaction->queue_entries, entry);
        if (transaction->finished) {
            this->services.end(transaction->service, *target, send_outcome::cancelled, std::nullopt, duration::zero());
            return;
        }
        const auto expected = this->begin_attempt(transaction, target, entry->work, false);
        this->schedule_hedge(transaction, expected);
    }

    /*! @brief Sends a transaction's request to a target on which it already counts as begun; returns the expected
     * response time. */
    duration begin_attempt(const internal::transaction_pointer& transaction, const target_pool::handle& target,
                           const duration work, const bool hedge) {
        const auto sent_at = this->now();
        this->services.notify_load(*target);
        internal::attempt attempt{};
        attempt.number = ++this->last_attempt;
        attempt.target = target;
        attempt.sent_at = sent_at;
        attempt.hedge = hedge;
        attempt.slowdown = this->services.slowdown(transaction->service, *target);
        attempt.reading_age = target->reading_age(sent_at);
        attempt.expected = std::chrono::duration_cast<duration>(work * attempt.slowdown);
        this->sender.connect(*transaction, attempt);
        if (transaction->first_sent_at == time_point{}) {
            transaction->first_sent_at = sent_at;
            transaction->first_slowdown = attempt.slowdown;
            transaction->first_reading_age = attempt.reading_age;
            this->services.count_first_attempt(transaction->service);
        }
        ++transaction->attempt_count;
        ++transaction->possible_executions;
        const auto number = attempt.number;
        const auto expected = attempt.expected;
        transaction->open_attempts.push_back(std::move(attempt));
        this->sender.send(*transaction, transaction->open_attempts.back(),
                          [this, transaction, number](exchange_outcome&& outcome) {
                              this->complete_attempt(transaction, number, std::move(outcome));
                          });
        internal::upload_body(transaction, number);
        return expected;
    }

    // Hedges

    void schedule_hedge(const internal::transaction_pointer& transaction, const duration expected) {
        if (!transaction->matched_route->idempotent || transaction->hedge_timer != 0U) {
            return;
        }
        if (this->hedge_share) {
            if (*this->hedge_share > 0.0) {
                this->consider_hedge(transaction);
            }
            return;
        }
        if (!transaction->exchange->body_held()) {
            return;
        }
        const auto wait = std::max(std::chrono::duration_cast<duration>(expected * this->constants.hedge_delay_factor),
                                   this->constants.min_hedge_delay);
        transaction->hedge_timer = this->deps.loop.after(wait, [this, transaction] {
            transaction->hedge_timer = 0U;
            if (!transaction->finished && transaction->open_attempts.size() == 1U &&
                transaction->queue_entries.empty() && this->acquire_retry(transaction)) {
                this->enqueue(transaction);
            }
        });
    }

    /*! @brief Hedges the only open attempt of a transaction if it is slow; looks again later if it is not yet, or if
     * the hedge is withheld for a reason that may pass. */
    void consider_hedge(const internal::transaction_pointer& transaction) {
        if (transaction->finished || transaction->hedge >= internal::hedge_state::sent ||
            transaction->open_attempts.size() != 1U || !transaction->queue_entries.empty() ||
            this->hedge_share.value_or(0.0) <= 0.0) {
            return;
        }
        const auto& open = transaction->open_attempts.front();
        const auto delay = this->services.hedge_delay(transaction->service);
        const auto age = this->now() - open.sent_at;
        if (age < delay.value_or(this->constants.min_hedge_delay)) {
            this->look_again(transaction, delay.value_or(this->constants.min_hedge_delay) - age);
            return;
        }
        const auto work = this->estimates.expected_work(*transaction->matched_route);
        const auto decision = this->services.try_hedge(
            transaction->service,
            {work, transaction->tried_targets, open.target->listing.zone,
             transaction->exchange->body_held() && !transaction->body_passed_on, transaction->attempt_count,
             transaction->matched_route->max_attempts, transaction->deadline});
        if (decision.target) {
            this->send_hedge(transaction, decision.target, work);
            return;
        }
        this->record_withheld(*transaction, decision.why);
        if (may_pass(decision.why)) {
            this->look_again(transaction, this->services.hedge_recheck_period(transaction->service));
        }
    }

    void look_again(const internal::transaction_pointer& transaction, const duration wait) {
        transaction->hedge_timer = this->deps.loop.after(wait, [this, transaction] {
            transaction->hedge_timer = 0U;
            this->consider_hedge(transaction);
        });
    }

    void send_hedge(const internal::transaction_pointer& transaction, const target_pool::handle& target,
                    const duration work) {
        transaction->hedge = internal::hedge_state::sent;
        const auto& slow = transaction->open_attempts.front();
        this->deps.log.request("hedge_sent", {{"request_id", transaction->metadata.request_id},
                                              {"service", transaction->service},
                                              {"target", target->listing.id},
                                              {"slow_target", slow.target->listing.id},
                                              {"after_ms", internal::to_milliseconds(this->now() - slow.sent_at)}});
        this->count_hedge(*transaction, "sent");
        this->begin_attempt(transaction, target, work, true);
    }

    /*! @brief Counts a withheld hedge once for each reason in a row. */
    void record_withheld(internal::transaction& transaction, const hedge_obstacle why) const {
        if (transaction.hedge == internal::hedge_state::withheld && transaction.hedge_withheld == why) {
            return;
        }
        transaction.hedge = internal::hedge_state::withheld;
        transaction.hedge_withheld = why;
        this->deps.metric_sink.count("hedges_withheld_total{service=\"" + transaction.service + "\",reason=\"" +
                                     std::string{name_of(why)} + "\"}");
    }

    void count_hedge(const internal::transaction& transaction, const std::string_view what) const {
        std::string name{"hedges_"};
        name.append(what).append("_total{service=\"").append(transaction.service).append("\"}");
        this->deps.metric_sink.count(name);
    }

    /*! @brief Records which of two open attempts responded first. */
    void record_winner(internal::transaction& transaction, const internal::attempt& winner) const {
        if (winner.hedge) {
            transaction.hedge = internal::hedge_state::won;
            this->count_hedge(transaction, "won");
        } else if (transaction.hedge == internal::hedge_state::sent && !transaction.open_attempts.empty()) {
            transaction.hedge = internal::hedge_state::cancelled;
        }
    }

    /*! @brief Returns how an open attempt ends when another one has responded: a late one counts against its target. */
    [[nodiscard]] send_outcome outcome_of_loser(const internal::transaction& transaction,
                                                const internal::attempt& loser) {
        const auto delay = this->services.hedge_delay(transaction.service);
        return this->hedge_share && delay && this->now() - loser.sent_at > *delay ? send_outcome::overtaken
                                                                                  : send_outcome::cancelled;
    }

    /*! @brief Returns whether a retry would run beside an open attempt. With a share of hedges, that attempt stands for
     * the retry, so that hedges are the only attempts that run beside another. */
    [[nodiscard]] bool runs_beside(const internal::transaction& transaction) const noexcept {
        return this->hedge_share && !transaction.open_attempts.empty();
    }

    /*! @brief Takes a retry from the budget if the body is held and the attempt limit, the time left and the budget
     * allow it. */
    [[nodiscard]] bool acquire_retry(const internal::transaction_pointer& transaction) {
        const auto min_time = std::chrono::duration_cast<duration>(
            this->estimates.expected_work(*transaction->matched_route) * internal::min_retry_work_share);
        return !this->runs_beside(*transaction) && !transaction->body_passed_on &&
               transaction->attempt_count < transaction->matched_route->max_attempts &&
               this->now() + min_time <= transaction->deadline &&
               this->services.try_take_retry(transaction->service, transaction->tried_targets);
    }

    // Attempt outcomes

    [[nodiscard]] std::optional<internal::attempt> remove_attempt(const internal::transaction_pointer& transaction,
                                                                  const std::uint64_t number) {
        auto* found = internal::find_attempt(*transaction, number);
        if (found == nullptr) {
            return std::nullopt;
        }
        internal::stop_upload(*transaction);
        auto attempt = std::move(*found);
        transaction->open_attempts.erase(transaction->open_attempts.begin() +
                                         std::distance(transaction->open_attempts.data(), found));
        return attempt;
    }

    void end_attempt(const std::string& service, internal::attempt& attempt, const send_outcome outcome,
                     const std::optional<load_reading>& load) {
        this->services.end(service, *attempt.target, outcome, load, this->now() - attempt.sent_at);
    }

    void complete_attempt(const internal::transaction_pointer& transaction, const std::uint64_t number,
                          exchange_outcome&& outcome) {
        auto attempt = this->remove_attempt(transaction, number);
        if (!attempt) {
            this->abandoned.complete(number, std::move(outcome));
            return;
        }
        if (outcome.failure) {
            this->handle_failure(transaction, *attempt, outcome);
        } else {
            this->handle_response(transaction, *attempt, std::move(outcome));
        }
        this->respond_if_idle(transaction);
        this->services.advance(transaction->service);
    }

    void handle_failure(const internal::transaction_pointer& transaction, internal::attempt& attempt,
                        const exchange_outcome& outcome) {
        transaction->cause = internal::name_of(*outcome.failure);
        if (!outcome.sent) {
            this->end_attempt(transaction->service, attempt, send_outcome::unreachable, std::nullopt);
            --transaction->attempt_count;
            --transaction->possible_executions;
            if (++transaction->failed_connects <= internal::max_failed_connects && !this->runs_beside(*transaction)) {
                this->enqueue(transaction);
            }
            return;
        }
        this->handle_indeterminate(transaction, attempt, std::nullopt);
    }

    /*! @brief Ends an attempt without a usable response, where the target may or may not have executed the request. */
    void handle_indeterminate(const internal::transaction_pointer& transaction, internal::attempt& attempt,
                              const std::optional<load_reading>& load) {
        this->end_attempt(transaction->service, attempt, send_outcome::failed, load);
        if (transaction->matched_route->idempotent && this->acquire_retry(transaction)) {
            this->enqueue(transaction);
        }
    }

    void handle_response(const internal::transaction_pointer& transaction, internal::attempt& attempt,
                         exchange_outcome&& outcome) {
        using verdict = internal::response_verdict;
        const auto metadata = this->deps.wire_dialect.read_response(outcome.response);
        const auto found = internal::verdict_of(outcome.response, metadata);
        this->services.record_statements(transaction->service, *attempt.target,
                                         {metadata, found, attempt.reused_connection});
        if (outcome.reusable && internal::leaves_connection_usable(found, attempt.reused_connection)) {
            this->channels.release(attempt.target->listing.endpoint, std::move(attempt.channel));
        }
        switch (found) {
        case verdict::misdirected:
            this->handle_refusal(transaction, attempt, send_outcome::unreachable, metadata.load);
            break;
        case verdict::refused:
            this->handle_refusal(transaction, attempt, send_outcome::shed, metadata.load);
            break;
        case verdict::not_genuine:
            transaction->cause = "not_genuine";
            this->handle_indeterminate(transaction, attempt, metadata.load);
            break;
        case verdict::failed:
        case verdict::succeeded:
            this->end_attempt(transaction->service, attempt,
                              found == verdict::failed ? send_outcome::failed : send_outcome::succeeded, metadata.load);
            this->handle_execution(transaction, attempt, std::move(outcome), found == verdict::failed);
            break;
        }
    }

    /*! @brief Ends an attempt that the target did not execute. */
    void handle_refusal(const internal::transaction_pointer& transaction, internal::attempt& attempt,
                        const send_outcome outcome, const std::optional<load_reading>& load) {
        this->end_attempt(transaction->service, attempt, outcome, load);
        --transaction->possible_executions;
        const bool has_free_slot = load && !load->is_full();
        (has_free_slot ? transaction->rejected_by_free_target : transaction->rejected_by_full_target) = true;
        transaction->cause = outcome == send_outcome::shed ? "shed" : "another_target";
        if (this->acquire_retry(transaction)) {
            this->enqueue(transaction);
        }
    }

    /*! @brief Forwards the response of a target that executed the request, or tries again after a failure. */
    void handle_execution(const internal::transaction_pointer& transaction, internal::attempt& attempt,
                          exchange_outcome&& outcome, const bool failed) {
        auto& response = outcome.response;
        transaction->answered_by = attempt.target->listing.id;
        if (!failed) {
            this->record_winner(*transaction, attempt);
        }
        if (!failed && transaction->exchange->body_held()) {
            this->services.record_response_time(transaction->service, this->now() - attempt.sent_at);
            this->estimates.record_work(*transaction->matched_route, this->now() - attempt.sent_at, attempt.slowdown);
        }
        if (outcome.body_follows) {
            this->forward_beginning(transaction, attempt, std::move(response));
            return;
        }
        if (!failed) {
            this->forward_response(transaction, response);
            return;
        }
        transaction->cause = "target_failure";
        const bool retry = transaction->matched_route->idempotent && this->acquire_retry(transaction);
        transaction->fallback_response = std::move(response);
        if (retry) {
            this->enqueue(transaction);
        }
    }

    void refuse(const std::shared_ptr<internal::queue_entry>& entry, const refusal& refused) {
        const auto transaction = entry->owner;
        std::erase(transaction->queue_entries, entry);
        if (transaction->finished) {
            return;
        }
        transaction->retry_after = refused.retry_after;
        if (transaction->cause.empty()) {
            transaction->cause = internal::name_of(refused.reason);
        }
        this->respond_if_idle(transaction);
    }

    /*! @brief Sends the final response once no attempt is open or queued. */
    void respond_if_idle(const internal::transaction_pointer& transaction) {
        if (transaction->finished || !transaction->open_attempts.empty() || !transaction->queue_entries.empty()) {
            return;
        }
        if (transaction->fallback_response) {
            this->forward_response(transaction, *transaction->fallback_response);
        } else if (transaction->possible_executions > 0U) {
            this->respond(transaction, {502, transaction->cause});
        } else {
            if (transaction->retry_after == duration::zero()) {
                const bool may_return_at_once =
                    transaction->rejected_by_free_target && !transaction->rejected_by_full_target;
                const auto shortest =
                    may_return_at_once ? internal::free_target_retry_after : internal::shortest_retry_after;
                const auto wait = std::max(this->services.expected_wait(transaction->service), shortest);
                transaction->retry_after = this->services.pause_left(transaction->service).value_or(wait);
            }
            this->respond(transaction, {503, transaction->cause});
        }
    }

    void handle_deadline(const internal::transaction_pointer& transaction) {
        transaction->deadline_timer = 0U;
        if (transaction->finished) {
            return;
        }
        for (auto& attempt : transaction->open_attempts) {
            // An attempt that took over twice its expected time counts against the target; otherwise the deadline was
            // short.
            const bool overdue = this->now() - attempt.sent_at > 2 * attempt.expected;
            this->detach_attempt(transaction, attempt, overdue ? send_outcome::timed_out : send_outcome::cancelled);
        }
        transaction->open_attempts.clear();
        if (transaction->fallback_response) {
            this->forward_response(transaction, *transaction->fallback_response);
        } else if (transaction->possible_executions > 0U) {
            this->respond(transaction, {504, "time_limit"});
        } else {
            this->respond(transaction, {503, "time_limit"});
        }
    }

    /*! @brief Ends the transaction of a caller that closed its connection. */
    void handle_disconnect(const internal::transaction_pointer& transaction) {
        if (transaction->finished) {
            return;
        }
        this->close(transaction, 0, "caller_gone");
        this->services.advance(transaction->service);
    }

    void withdraw(const internal::transaction_pointer& transaction) {
        for (const auto& entry : transaction->queue_entries) {
            this->services.withdraw(transaction->service, entry);
        }
        transaction->queue_entries.clear();
    }

    /*! @brief Cancels an idempotent attempt, or one whose body is not complete, by closing its connection; lets any
     * other finish. */
    void detach_attempt(const internal::transaction_pointer& transaction, internal::attempt& attempt,
                        const send_outcome outcome) {
        const bool complete = attempt.channel->request_complete();
        if (transaction->matched_route->idempotent || !complete) {
            this->end_attempt(transaction->service, attempt, complete ? outcome : send_outcome::cancelled,
                              std::nullopt);
            attempt.channel.reset();
            return;
        }
        this->abandoned.add(transaction->service, std::move(attempt));
    }

    // Responses

    /*! @brief Replaces a response whose status would state, without proof, that the request was not executed. */
    [[nodiscard]] bool replace_misleading(const internal::transaction_pointer& transaction, const int status) {
        if (transaction->matched_route->idempotent || !internal::implies_not_executed(status)) {
            return false;
        }
        this->respond(transaction, {502, "status_would_promise_not_run"});
        return true;
    }

    /*! @brief Forwards a response whose body is too long to be held; the rest follows while it arrives. */
    void forward_beginning(const internal::transaction_pointer& transaction, internal::attempt& attempt,
                           http_response&& response) {
        const int status = response.status();
        if (this->replace_misleading(transaction, status)) {
            return;
        }
        this->close(transaction, status, internal::answered);
        this->relays.add({transaction->exchange, std::move(attempt.channel), std::move(response),
                          transaction->metadata.request_id, attempt.target->listing.id,
                          attempt.target->listing.endpoint, transaction->deadline});
    }

    void forward_response(const internal::transaction_pointer& transaction, const http_response& response) {
        const int status = response.status();
        if (this->replace_misleading(transaction, status)) {
            return;
        }
        const bool bodiless = transaction->exchange->request().is_head() || status == 204 || status == 304;
        // Close first: sending the response may start the caller's next request on the same connection, which must not
        // run while this transaction still has attempts or queue entries.
        this->close(transaction, status, internal::answered);
        transaction->exchange->respond(forwarded_response_head(response, bodiless), response.body, bodiless);
    }

    void respond(const internal::transaction_pointer& transaction, const internal::gateway_response& response) {
        const auto exchange = transaction->exchange;
        const auto reply = internal::make_reply(*transaction, response);
        this->close(transaction, response.status, response.outcome);
        exchange->respond(reply);
    }

    /*! @brief Ends a transaction: cancels its timers, queue entries and attempts, and logs its outcome. */
    void close(const internal::transaction_pointer& transaction, const int status, const std::string_view outcome) {
        transaction->finished = true;
        this->deps.loop.cancel(transaction->deadline_timer);
        this->deps.loop.cancel(transaction->hedge_timer);
        if (!transaction->service.empty()) {
            this->withdraw(transaction);
        }
        const bool answered = outcome == internal::answered;
        for (auto& attempt : transaction->open_attempts) {
            const auto end = answered ? this->outcome_of_loser(*transaction, attempt) : send_outcome::cancelled;
            if (answered && transaction->hedge >= internal::hedge_state::sent) {
                this->count_hedge(*transaction, "cancelled");
            }
            this->detach_attempt(transaction, attempt, end);
        }
        transaction->open_attempts.clear();
        if (transaction->counted_in_quota && transaction->possible_executions == 0U) {
            this->deps.quotas->give_back(*transaction->team);
        }
        internal::record_completion(*transaction, status, outcome, this->now(), this->deps.log, this->deps.metric_sink);
        this->transactions.erase(transaction);
    }
};

forwarder::forwarder(const dependencies& deps, const target_choice_rule& target_choice,
                     const scheduling_rule& scheduling, const forwarding_rule& constants)
    : self{std::make_unique<implementation>(deps, target_choice, scheduling, constants)} {}

forwarder::~forwarder() = default;

void forwarder::handle(const std::shared_ptr<http_server_exchange>& exchange) {
    this->self->handle(exchange);
}

bool forwarder::may_overlap(const http_request& request) const {
    const auto host = request.header(field_name::host);
    const auto* found = host ? this->self->deps.routes.find(*host, request.path) : nullptr;
    return found != nullptr && found->idempotent;
}

explanation forwarder::explain(const explained_request& question) const {
    const auto& state = *this->self;
    const internal::request_explainer explainer{
        {state.deps.routes, state.estimates, state.services, state.deps.quotas, state.now(),
         [&state](const time_point deadline) { return state.may_outlast_process(deadline); }}};
    return explainer.explain(question);
}

void forwarder::update_targets(const target_list& list) {
    this->self->services.update_targets(list);
}

void forwarder::set_remote_in_flight(const std::uint32_t key, const std::uint32_t remote_in_flight) {
    this->self->services.set_remote_in_flight(key, remote_in_flight);
}

void forwarder::on_load_change(service_queues::load_listener listener) {
    this->self->services.on_load_change(std::move(listener));
}

void forwarder::begin_stop(const stop_schedule& schedule) {
    this->self->begin_stop(schedule);
}

void forwarder::configure(const retry_limits& retries, const std::size_t instances, const double probes_per_target) {
    this->self->services.configure(retries, instances, probes_per_target);
}

void forwarder::limit_hedges(const std::optional<double> extra_share) {
    this->self->hedge_share = extra_share;
    this->self->services.limit_hedges(extra_share);
}

void forwarder::limit_cold_targets(const warm_up_senders& senders) {
    this->self->services.limit_cold_targets(senders);
}

void forwarder::evacuate(const std::span<const std::string> zones) {
    this->self->services.evacuate(zones);
}

std::uint64_t forwarder::received() const noexcept {
    return this->self->received;
}

std::uint64_t forwarder::over_quota() const noexcept {
    return this->self->over_quota;
}

std::size_t forwarder::open_requests() const noexcept {
    return this->self->transactions.size() + this->self->relays.size();
}

nlohmann::json forwarder::describe() const {
    return {{"services", this->self->services.describe()},         {"open", this->self->transactions.size()},
            {"responses_in_parts", this->self->relays.size()},     {"probes", this->self->services.probes()},
            {"connections_opened", this->self->channels.opened()}, {"connections_idle", this->self->channels.idle()}};
}

} // namespace mangopulley
