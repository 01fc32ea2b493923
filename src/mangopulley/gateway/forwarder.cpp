#include "forwarder.hpp"

#include <algorithm>
#include <unordered_set>
#include <utility>

#include <nlohmann/json.hpp>

#include "../http/field_names.hpp"
#include "abandoned_sends.hpp"
#include "forwarded_head.hpp"
#include "own_answer.hpp"
#include "route_times.hpp"
#include "transaction.hpp"
#include "transaction_log.hpp"

namespace mangopulley {

namespace internal {

namespace {

using transaction_pointer = std::shared_ptr<transaction>;

constexpr double least_work_share = 0.7;
constexpr std::uint32_t most_failed_connects = 4U;
constexpr int misdirected_status = 421;
constexpr duration prune_period{std::chrono::milliseconds{500}};

} // namespace

} // namespace internal

struct forwarder::implementation {
    parts environment;
    forwarding_rule rule;
    channel_pool channels{this->environment.loop};
    service_lines lines;
    route_times times{this->rule.first_work_share};
    std::unordered_set<internal::transaction_pointer> transactions{};
    internal::abandoned_sends abandoned{
        {this->environment.loop, this->environment.speech, this->lines, this->channels, this->rule.abandoned_time}};
    std::uint64_t last_attempt{};
    std::uint64_t received{};
    timer_id prune_timer{};

    implementation(const parts& used, const target_choice_rule& target_rule, const scheduling_rule& line_rule,
                   const forwarding_rule& bounds)
        : environment{used}, rule{bounds}, lines{{used.loop, used.speech, used.routes, this->channels},
                                                 {target_rule, line_rule},
                                                 this->line_actions()} {
        this->prune_timer = this->environment.loop.every(internal::prune_period, [this] { this->channels.prune(); });
    }

    ~implementation() {
        this->environment.loop.cancel(this->prune_timer);
        for (const auto& item : this->transactions) {
            this->environment.loop.cancel(item->deadline_timer);
            this->environment.loop.cancel(item->second_send_timer);
        }
    }

    [[nodiscard]] time_point now() const noexcept { return this->environment.loop.now(); }

    service_lines::actions line_actions() {
        return {[this](const request_scheduler::request& item, const target_pool::handle& target) {
                    this->send(std::static_pointer_cast<internal::ticket>(item), target);
                },
                [this](const request_scheduler::request& item, const refusal& why) {
                    this->refuse(std::static_pointer_cast<internal::ticket>(item), why);
                }};
    }

    // Arrival

    void handle(const std::shared_ptr<caller_exchange>& exchange) {
        ++this->received;
        auto item = std::make_shared<internal::transaction>();
        item->exchange = exchange;
        const auto verdict =
            internal::read_arrival(*item, this->environment.speech, this->environment.routes, this->times);
        if (verdict) {
            this->finish(item, *verdict);
        } else {
            this->admit(item);
        }
    }

    void admit(const internal::transaction_pointer& item) {
        this->transactions.insert(item);
        item->deadline_timer =
            this->environment.loop.after(item->deadline - this->now(), [this, item] { this->expire(item); });
        item->exchange->on_gone([this, item] { this->abandon(item); });
        this->lines.count_request(item->service);
        this->enqueue(item);
    }

    void enqueue(const internal::transaction_pointer& item) {
        auto ticket = std::make_shared<internal::ticket>();
        ticket->owner = item;
        ticket->id = item->facts.id;
        ticket->priority = item->selected->priority;
        ticket->arrived = this->now();
        ticket->goal = item->goal;
        ticket->deadline = item->deadline;
        ticket->work = this->times.usual_work(*item->selected);
        ticket->tried = item->tried;
        item->queued.push_back(ticket);
        this->lines.submit(item->service, ticket);
    }

    // Sending

    void send(const std::shared_ptr<internal::ticket>& place, const target_pool::handle& target) {
        const auto item = place->owner;
        std::erase(item->queued, place);
        const auto time = this->now();
        if (item->finished) {
            this->lines.end(item->service, *target, send_outcome::unused, std::nullopt, duration::zero());
            return;
        }
        this->lines.tell_load(*target);
        internal::attempt sent{};
        sent.number = ++this->last_attempt;
        sent.target = target;
        sent.begun = time;
        sent.slowness = this->lines.slowness(item->service, *target);
        sent.reading_age = target->reading_age(time);
        sent.expected = std::chrono::duration_cast<duration>(place->work * sent.slowness);
        sent.channel = this->channels.take(target->listing.endpoint);
        if (item->first_sent == time_point{}) {
            item->first_sent = time;
            item->first_slowness = sent.slowness;
            item->first_reading_age = sent.reading_age;
        }
        ++item->sends;
        item->tried.push_back(target->listing.id);
        const auto& request = item->exchange->request();
        const auto bytes = forwarded_request(request, this->environment.speech, target->listing, item->deadline - time);
        auto& channel = *sent.channel;
        const auto number = sent.number;
        const auto expected = sent.expected;
        item->open.push_back(std::move(sent));
        channel.send(
            bytes, is_bodiless(request),
            [this, id = item->facts.id](const http_response& response) {
                const auto facts = this->environment.speech.read_response(response);
                return facts.request_id.empty() || facts.request_id == id;
            },
            [this, item, number](exchange_outcome&& outcome) { this->settle(item, number, std::move(outcome)); });
        this->plan_second_send(item, expected);
    }

    void plan_second_send(const internal::transaction_pointer& item, const duration expected) {
        if (!item->selected->idempotent || item->second_send_timer != 0U) {
            return;
        }
        const auto wait = std::max(std::chrono::duration_cast<duration>(expected * this->rule.second_send_after),
                                   this->rule.least_second_send);
        item->second_send_timer = this->environment.loop.after(wait, [this, item] {
            item->second_send_timer = 0U;
            if (!item->finished && item->open.size() == 1U && item->queued.empty() && this->take_repeat(item)) {
                this->enqueue(item);
            }
        });
    }

    /*! @brief Takes the right to send a request once more, if its route, its time and the budget allow it. */
    [[nodiscard]] bool take_repeat(const internal::transaction_pointer& item) {
        const auto least =
            std::chrono::duration_cast<duration>(this->times.usual_work(*item->selected) * internal::least_work_share);
        return item->sends < item->selected->attempts && this->now() + least <= item->deadline &&
               this->lines.try_take_repeat(item->service, item->tried);
    }

    // Outcomes

    [[nodiscard]] std::optional<internal::attempt> close_attempt(const internal::transaction_pointer& item,
                                                                 const std::uint64_t number) {
        const auto position = std::find_if(item->open.begin(), item->open.end(),
                                           [number](const auto& sent) { return sent.number == number; });
        if (position == item->open.end()) {
            return std::nullopt;
        }
        auto sent = std::move(*position);
        item->open.erase(position);
        return sent;
    }

    void release(const std::string& service, internal::attempt& sent, const send_outcome outcome,
                 const std::optional<load_reading>& load) {
        this->lines.end(service, *sent.target, outcome, load, this->now() - sent.begun);
    }

    void settle(const internal::transaction_pointer& item, const std::uint64_t number, exchange_outcome&& outcome) {
        auto sent = this->close_attempt(item, number);
        if (!sent) {
            this->abandoned.settle(number, std::move(outcome));
            return;
        }
        if (outcome.failure) {
            this->settle_failure(item, *sent, outcome);
        } else {
            this->settle_response(item, *sent, std::move(outcome));
        }
        this->conclude(item);
        this->lines.advance(item->service);
    }

    void settle_failure(const internal::transaction_pointer& item, internal::attempt& sent,
                        const exchange_outcome& outcome) {
        item->cause = internal::name_of(*outcome.failure);
        if (!outcome.sent) {
            this->release(item->service, sent, send_outcome::unreachable, std::nullopt);
            --item->sends;
            if (++item->failed_connects <= internal::most_failed_connects) {
                this->enqueue(item);
            }
            return;
        }
        this->settle_unproved(item, sent, std::nullopt);
    }

    /*! @brief Ends a send that brought no answer to deliver, and of which nobody knows whether it ran. */
    void settle_unproved(const internal::transaction_pointer& item, internal::attempt& sent,
                         const std::optional<load_reading>& load) {
        this->release(item->service, sent, send_outcome::failed, load);
        item->may_have_run = true;
        if (item->selected->idempotent && this->take_repeat(item)) {
            this->enqueue(item);
        }
    }

    void settle_response(const internal::transaction_pointer& item, internal::attempt& sent,
                         exchange_outcome&& outcome) {
        auto& response = outcome.response;
        const auto facts = this->environment.speech.read_response(response);
        const int status = response.status();
        if (outcome.reusable) {
            this->channels.give_back(sent.target->listing.endpoint, std::move(sent.channel));
        }
        if (facts.not_run || status == internal::misdirected_status) {
            const bool other = status == internal::misdirected_status;
            this->release(item->service, sent, other ? send_outcome::unreachable : send_outcome::shed, facts.load);
            item->cause = other ? "another_target" : "shed";
            if (this->take_repeat(item)) {
                this->enqueue(item);
            }
            return;
        }
        if (!facts.genuine || response.head.has(field_name::content_encoding)) {
            item->cause = "not_genuine";
            this->settle_unproved(item, sent, facts.load);
            return;
        }
        item->may_have_run = true;
        item->answered_by = sent.target->listing.id;
        const bool failed = status >= 500;
        this->release(item->service, sent, failed ? send_outcome::failed : send_outcome::answered, facts.load);
        if (!failed) {
            this->times.learn_work(*item->selected, this->now() - sent.begun, sent.slowness);
            this->deliver(item, response);
            return;
        }
        item->cause = "target_failure";
        const bool again = item->selected->idempotent && this->take_repeat(item);
        item->fallback = std::move(response);
        if (again) {
            this->enqueue(item);
        }
    }

    void refuse(const std::shared_ptr<internal::ticket>& place, const refusal& why) {
        const auto item = place->owner;
        std::erase(item->queued, place);
        if (item->finished) {
            return;
        }
        item->retry_after = why.retry_after;
        if (item->cause.empty()) {
            item->cause = internal::name_of(why.reason);
        }
        this->conclude(item);
    }

    /*! @brief Gives the final answer once nothing is under way for a request any more. */
    void conclude(const internal::transaction_pointer& item) {
        if (item->finished || !item->open.empty() || !item->queued.empty()) {
            return;
        }
        if (item->fallback) {
            this->deliver(item, *item->fallback);
        } else if (item->may_have_run) {
            this->finish(item, {502, item->cause});
        } else {
            if (item->retry_after == duration::zero()) {
                item->retry_after =
                    std::max<duration>(this->lines.expected_wait(item->service), std::chrono::milliseconds{100});
            }
            this->finish(item, {503, item->cause});
        }
    }

    void expire(const internal::transaction_pointer& item) {
        item->deadline_timer = 0U;
        if (item->finished) {
            return;
        }
        const bool sent = !item->open.empty();
        for (auto& open : item->open) {
            // A target that took far longer than expected counts as failing; others only had too little time.
            const bool overdue = this->now() - open.begun > 2 * open.expected;
            this->leave(item, open, overdue ? send_outcome::timed_out : send_outcome::unused);
        }
        item->open.clear();
        if (item->fallback) {
            this->deliver(item, *item->fallback);
        } else if (sent || item->may_have_run) {
            this->finish(item, {504, "time_limit"});
        } else {
            this->finish(item, {503, "time_limit"});
        }
    }

    /*! @brief Ends the work for a caller that has closed its connection. */
    void abandon(const internal::transaction_pointer& item) {
        if (item->finished) {
            return;
        }
        this->close(item, 0, "caller_gone");
        this->lines.advance(item->service);
    }

    void withdraw(const internal::transaction_pointer& item) {
        for (const auto& place : item->queued) {
            this->lines.withdraw(item->service, place);
        }
        item->queued.clear();
    }

    /*! @brief Cancels an idempotent send by closing its connection; lets a non-idempotent one finish. */
    void leave(const internal::transaction_pointer& item, internal::attempt& sent, const send_outcome outcome) {
        if (item->selected->idempotent) {
            this->release(item->service, sent, outcome, std::nullopt);
            sent.channel.reset();
            return;
        }
        this->abandoned.keep(item->service, std::move(sent));
    }

    // Answers

    void deliver(const internal::transaction_pointer& item, const http_response& response) {
        const int status = response.status();
        if (!item->selected->idempotent && internal::promises_not_run(status)) {
            this->finish(item, {502, "status_would_promise_not_run"});
            return;
        }
        const bool bodiless = is_bodiless(item->exchange->request()) || status == 204 || status == 304;
        // Closed first: the answer may let the caller's next request in, which must not meet what waits for this one.
        this->close(item, status, "answered");
        item->exchange->answer(forwarded_response_head(response, bodiless), response.body, bodiless);
    }

    void finish(const internal::transaction_pointer& item, const internal::own_verdict& verdict) {
        const auto exchange = item->exchange;
        const auto reply = internal::own_answer(*item, verdict);
        this->close(item, verdict.status, verdict.outcome);
        exchange->answer(reply);
    }

    /*! @brief Ends a transaction: cancels what is still open for it and writes its line. */
    void close(const internal::transaction_pointer& item, const int status, const std::string_view outcome) {
        item->finished = true;
        this->environment.loop.cancel(item->deadline_timer);
        this->environment.loop.cancel(item->second_send_timer);
        if (!item->service.empty()) {
            this->withdraw(item);
        }
        for (auto& open : item->open) {
            this->leave(item, open, send_outcome::unused);
        }
        item->open.clear();
        internal::record_end(*item, status, outcome, this->now(), this->environment.log, this->environment.numbers);
        this->transactions.erase(item);
    }
};

forwarder::forwarder(const parts& environment, const target_choice_rule& choice, const scheduling_rule& order,
                     const forwarding_rule& bounds)
    : self{std::make_unique<implementation>(environment, choice, order, bounds)} {}

forwarder::~forwarder() = default;

void forwarder::handle(const std::shared_ptr<caller_exchange>& exchange) {
    this->self->handle(exchange);
}

void forwarder::update_targets(const target_list& list) {
    this->self->lines.update_targets(list);
}

void forwarder::set_foreign(const std::uint32_t key, const std::uint32_t foreign) {
    this->self->lines.set_foreign(key, foreign);
}

void forwarder::on_load_change(service_lines::load_listener action) {
    this->self->lines.on_load_change(std::move(action));
}

void forwarder::configure(const repeat_rule& repeats, const std::size_t instances, const double probes_per_target) {
    this->self->lines.configure(repeats, instances, probes_per_target);
}

std::uint64_t forwarder::received() const noexcept {
    return this->self->received;
}

std::size_t forwarder::open() const noexcept {
    return this->self->transactions.size();
}

nlohmann::json forwarder::describe() const {
    return {{"services", this->self->lines.describe()},
            {"open", this->self->transactions.size()},
            {"probes", this->self->lines.probes()},
            {"connections_opened", this->self->channels.opened()},
            {"connections_idle", this->self->channels.idle()}};
}

} // namespace mangopulley
