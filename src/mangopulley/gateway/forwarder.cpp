#include "forwarder.hpp"

#include <algorithm>
#include <cstdio>
#include <limits>
#include <map>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include <nlohmann/json.hpp>

#include "../http/field_names.hpp"
#include "forwarded_head.hpp"
#include "load_prober.hpp"
#include "shared_load.hpp"
#include "transaction.hpp"
#include "usual_patience.hpp"

namespace mangopulley {

namespace internal {

namespace {

using transaction_pointer = std::shared_ptr<transaction>;

constexpr double work_weight = 0.08;
constexpr double least_work_share = 0.7;
constexpr std::uint32_t most_failed_connects = 4U;
constexpr int misdirected_status = 421;
constexpr duration unknown_config_retry_after{std::chrono::milliseconds{300}};
constexpr duration longest_deadline{std::chrono::hours{1}};

[[nodiscard]] std::string to_milliseconds(const duration time) {
    char text[32];
    std::snprintf(text, sizeof text, "%.1f", std::chrono::duration<double, std::milli>(time).count());
    return text;
}

[[nodiscard]] std::string to_decimal(const double number) {
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", number);
    return text;
}

/*! @brief Tells whether a status says that the request has not run; only a proof of that may be passed on as such. */
[[nodiscard]] bool promises_not_run(const int status) noexcept {
    return status == 408 || status == misdirected_status || status == 429 || status == 503;
}

[[nodiscard]] std::string_view name_of(const refusal_reason reason) noexcept {
    switch (reason) {
    case refusal_reason::no_target:
        return "no_target";
    case refusal_reason::overloaded:
        return "overloaded";
    case refusal_reason::out_of_time:
        return "out_of_time";
    }
    return "unknown";
}

[[nodiscard]] std::string_view name_of(const network_error_code code) noexcept {
    switch (code) {
    case network_error::code::connect_failed:
        return "connect_failed";
    case network_error::code::broken:
        return "broken";
    case network_error::code::timed_out:
        return "timed_out";
    case network_error::code::malformed:
        return "malformed";
    }
    return "unknown";
}

/*! @brief What the forwarder keeps of one service. */
struct service_state {
    std::unique_ptr<request_scheduler> scheduler{};
    repeat_budget repeats{repeat_rule{}};
    std::string health_path{"/"};
};

/*! @brief Send whose caller is gone and whose target may finish. */
struct orphan {
    attempt left{};
    std::string service{};
    timer_id timer{};
};

} // namespace

} // namespace internal

struct forwarder::implementation {
    parts environment;
    target_choice_rule choice;
    scheduling_rule order;
    forwarding_rule rule;
    channel_pool channels{this->environment.loop};
    load_prober prober{this->environment.loop, this->environment.speech, this->channels};
    std::map<std::string, internal::service_state, std::less<>> services{};
    /*! @brief Usual work time of each route. */
    std::unordered_map<std::string, duration> work{};
    std::unordered_set<internal::transaction_pointer> transactions{};
    std::unordered_map<std::uint64_t, internal::orphan> orphans{};
    repeat_rule repeats{};
    std::size_t instances{1U};
    double probes_per_target{0.0};
    std::uint64_t last_attempt{};
    std::uint64_t received{};
    std::function<void(std::uint32_t, std::uint32_t)> load_changed{};
    /*! @brief Targets by their keys in `shared_load`, and the counts of others, also of targets not yet listed. */
    std::unordered_map<std::uint32_t, target_pool::handle> by_key{};
    std::unordered_map<std::uint32_t, std::uint32_t> foreign{};
    /*! @brief How long the callers of each route wait. */
    std::unordered_map<std::string, usual_patience> patience{};
    timer_id advance_timer{};
    timer_id prune_timer{};

    implementation(const parts& used, target_choice_rule target_rule, const scheduling_rule& line_rule,
                   const forwarding_rule& bounds)
        : environment{used}, choice{std::move(target_rule)}, order{line_rule}, rule{bounds} {
        this->prune_timer =
            this->environment.loop.every(std::chrono::milliseconds{500}, [this] { this->channels.prune(); });
    }

    ~implementation() {
        this->environment.loop.cancel(this->advance_timer);
        this->environment.loop.cancel(this->prune_timer);
        for (const auto& item : this->transactions) {
            this->environment.loop.cancel(item->deadline_timer);
            this->environment.loop.cancel(item->second_send_timer);
        }
        for (const auto& [number, item] : this->orphans) {
            this->environment.loop.cancel(item.timer);
        }
    }

    [[nodiscard]] time_point now() const noexcept { return this->environment.loop.now(); }

    internal::service_state& service(const std::string& name) {
        auto& state = this->services[name];
        if (!state.scheduler) {
            request_scheduler::actions outlets{};
            outlets.send = [this](const request_scheduler::request& item, const target_pool::handle& target) {
                this->send(std::static_pointer_cast<internal::ticket>(item), target);
            };
            outlets.probe = [this, name](const target_pool::handle& target) { this->probe(name, target); };
            outlets.refuse = [this](const request_scheduler::request& item, const refusal& why) {
                this->refuse(std::static_pointer_cast<internal::ticket>(item), why);
            };
            state.scheduler = std::make_unique<request_scheduler>(this->choice, this->order, std::move(outlets));
            state.scheduler->limit_probes(this->probes_per_target);
            state.repeats.configure(this->repeats, this->instances);
        }
        return state;
    }

    void advance() {
        const auto time = this->now();
        for (auto& [name, state] : this->services) {
            state.scheduler->advance(time);
        }
        this->keep_advancing();
    }

    /*! @brief Has waiting requests reconsidered soon; an idle instance sets no timer. */
    void keep_advancing() {
        const bool waiting = std::any_of(this->services.begin(), this->services.end(),
                                         [](const auto& entry) { return entry.second.scheduler->waiting() > 0U; });
        if (waiting && this->advance_timer == 0U) {
            this->advance_timer = this->environment.loop.after(this->rule.advance_period, [this] {
                this->advance_timer = 0U;
                this->advance();
            });
        }
    }

    // Arrival

    void handle(const std::shared_ptr<caller_exchange>& exchange) {
        ++this->received;
        const auto& request = exchange->request();
        auto item = std::make_shared<internal::transaction>();
        item->exchange = exchange;
        item->facts = this->environment.speech.read_request(request);
        item->config = this->environment.routes.current();
        item->arrived = request.received;
        item->deadline = request.received + item->facts.time_left.value_or(internal::longest_deadline);
        if (item->config->revision == 0U) {
            item->retry_after = internal::unknown_config_retry_after;
            this->finish(item, 503, "no_config");
            return;
        }
        const auto host = request.header(field_name::host);
        item->selected = host ? this->environment.routes.find(*host, request.path) : nullptr;
        if (item->selected == nullptr) {
            this->finish(item, 404, "no_route");
            return;
        }
        if (item->facts.id.empty()) {
            this->finish(item, 400, "no_request_id");
            return;
        }
        item->deadline = std::min(item->deadline, item->arrived + item->selected->time_limit);
        item->goal = item->arrived + item->selected->latency_goal - this->spent_before(*item);
        item->service = std::string{this->environment.routes.next_service(*item->selected)};
        this->admit(item);
    }

    void admit(const internal::transaction_pointer& item) {
        this->transactions.insert(item);
        item->deadline_timer =
            this->environment.loop.after(item->deadline - this->now(), [this, item] { this->expire(item); });
        item->exchange->on_gone([this, item] { this->abandon(item); });
        this->service(item->service).repeats.count_request(this->now());
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
        ticket->work = this->usual_work(*item->selected);
        ticket->tried = item->tried;
        item->queued.push_back(ticket);
        this->service(item->service).scheduler->submit(ticket, this->now());
        this->keep_advancing();
    }

    /*! @brief Returns how long a caller has waited with earlier attempts, judged by the time it has left. */
    [[nodiscard]] duration spent_before(const internal::transaction& item) {
        const auto left = item.facts.time_left;
        return left ? this->patience[item.selected->name].spent(*left) : duration::zero();
    }

    [[nodiscard]] duration usual_work(const route& selected) const {
        const auto position = this->work.find(selected.name);
        if (position != this->work.end()) {
            return position->second;
        }
        return std::chrono::duration_cast<duration>(selected.latency_goal * this->rule.first_work_share);
    }

    void learn_work(const route& selected, const duration taken, const double slowness) {
        const auto usual = std::chrono::duration_cast<duration>(taken / std::max(slowness, 0.1));
        auto& mean = this->work.try_emplace(selected.name, this->usual_work(selected)).first->second;
        mean += std::chrono::duration_cast<duration>((usual - mean) * internal::work_weight);
    }

    // Sending

    void send(const std::shared_ptr<internal::ticket>& place, const target_pool::handle& target) {
        const auto item = place->owner;
        std::erase(item->queued, place);
        auto& pool = this->service(item->service).scheduler->targets();
        const auto time = this->now();
        if (item->finished) {
            pool.end(*target, send_outcome::unused, std::nullopt, time);
            return;
        }
        this->tell_load(*target);
        internal::attempt sent{};
        sent.number = ++this->last_attempt;
        sent.target = target;
        sent.begun = time;
        sent.slowness = pool.slowness(*target, time);
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

    void tell_load(const pool_target& target) const {
        if (this->load_changed) {
            this->load_changed(shared_load::key_of(target.listing.id), target.in_flight);
        }
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
            std::chrono::duration_cast<duration>(this->usual_work(*item->selected) * internal::least_work_share);
        auto& state = this->service(item->service);
        return item->sends < item->selected->attempts && this->now() + least <= item->deadline &&
               state.scheduler->targets().has_usable(item->tried) && state.repeats.try_take(this->now());
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
        const auto position = this->services.find(service);
        if (position != this->services.end()) {
            position->second.scheduler->targets().end(*sent.target, outcome, load, this->now());
            this->tell_load(*sent.target);
            if (outcome == send_outcome::answered) {
                position->second.scheduler->note_completion(this->now() - sent.begun);
            }
        }
    }

    void settle(const internal::transaction_pointer& item, const std::uint64_t number, exchange_outcome&& outcome) {
        auto sent = this->close_attempt(item, number);
        if (!sent) {
            this->settle_orphan(number, std::move(outcome));
            return;
        }
        if (outcome.failure) {
            this->settle_failure(item, *sent, outcome);
        } else {
            this->settle_response(item, *sent, std::move(outcome));
        }
        this->conclude(item);
        this->advance_service(item->service);
    }

    void advance_service(const std::string& name) {
        this->service(name).scheduler->advance(this->now());
        this->keep_advancing();
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
        this->release(item->service, sent, send_outcome::failed, std::nullopt);
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
            this->release(item->service, sent, send_outcome::failed, facts.load);
            item->may_have_run = true;
            item->cause = "not_genuine";
            if (item->selected->idempotent && this->take_repeat(item)) {
                this->enqueue(item);
            }
            return;
        }
        item->may_have_run = true;
        item->answered_by = sent.target->listing.id;
        const bool failed = status >= 500;
        this->release(item->service, sent, failed ? send_outcome::failed : send_outcome::answered, facts.load);
        if (!failed) {
            this->learn_work(*item->selected, this->now() - sent.begun, sent.slowness);
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
            this->finish(item, 502, item->cause);
        } else {
            if (item->retry_after == duration::zero()) {
                item->retry_after = std::max<duration>(this->service(item->service).scheduler->expected_wait(),
                                                       std::chrono::milliseconds{100});
            }
            this->finish(item, 503, item->cause);
        }
    }

    void expire(const internal::transaction_pointer& item) {
        item->deadline_timer = 0U;
        if (item->finished) {
            return;
        }
        const bool sent = !item->open.empty();
        this->withdraw(item);
        for (auto& open : item->open) {
            // A target that took far longer than expected counts as failing; others only had too little time.
            const bool overdue = this->now() - open.begun > 2 * open.expected;
            this->leave(item, open, overdue ? send_outcome::timed_out : send_outcome::unused);
        }
        item->open.clear();
        if (item->fallback) {
            this->deliver(item, *item->fallback);
        } else if (sent || item->may_have_run) {
            this->finish(item, 504, "time_limit");
        } else {
            this->finish(item, 503, "time_limit");
        }
    }

    /*! @brief Ends the work for a caller that has closed its connection. */
    void abandon(const internal::transaction_pointer& item) {
        if (item->finished) {
            return;
        }
        this->withdraw(item);
        for (auto& open : item->open) {
            this->leave(item, open, send_outcome::unused);
        }
        item->open.clear();
        this->close(item, 0, "caller_gone");
        this->advance_service(item->service);
    }

    void withdraw(const internal::transaction_pointer& item) {
        auto& state = this->service(item->service);
        for (const auto& place : item->queued) {
            state.scheduler->withdraw(place);
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
        const auto number = sent.number;
        auto& left = this->orphans[number];
        left.service = item->service;
        left.left = std::move(sent);
        left.timer = this->environment.loop.after(this->rule.orphan_time, [this, number] {
            exchange_outcome unanswered{};
            unanswered.failure = network_error::code::timed_out;
            this->settle_orphan(number, std::move(unanswered));
        });
    }

    void settle_orphan(const std::uint64_t number, exchange_outcome&& outcome) {
        const auto position = this->orphans.find(number);
        if (position == this->orphans.end()) {
            return;
        }
        auto item = std::move(position->second);
        this->orphans.erase(position);
        this->environment.loop.cancel(item.timer);
        std::optional<load_reading> load{};
        if (!outcome.failure) {
            load = this->environment.speech.read_response(outcome.response).load;
            if (outcome.reusable) {
                this->channels.give_back(item.left.target->listing.endpoint, std::move(item.left.channel));
            }
        }
        this->release(item.service, item.left, outcome.failure ? send_outcome::failed : send_outcome::answered, load);
        this->advance_service(item.service);
    }

    // Answers

    void deliver(const internal::transaction_pointer& item, const http_response& response) {
        const int status = response.status();
        if (!item->selected->idempotent && internal::promises_not_run(status)) {
            this->finish(item, 502, "status_would_promise_not_run");
            return;
        }
        const bool bodiless = is_bodiless(item->exchange->request()) || status == 204 || status == 304;
        item->exchange->answer(forwarded_response_head(response, bodiless), response.body, bodiless);
        this->close(item, status, "answered");
    }

    void finish(const internal::transaction_pointer& item, const int status, const std::string_view outcome) {
        http_reply reply{};
        reply.status = status;
        reply.content_type = "application/problem+json";
        reply.body = nlohmann::json{{"status", status}, {"title", outcome}, {"request_id", item->facts.id}}.dump(
            -1, ' ', false, nlohmann::json::error_handler_t::replace);
        if (status == 503) {
            const auto seconds = std::chrono::duration<double>(item->retry_after).count();
            reply.headers.push_back({field_name::retry_after, internal::to_decimal(seconds)});
        }
        const auto exchange = item->exchange;
        this->close(item, status, outcome);
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
        const auto time = this->now();
        const bool routed = item->selected != nullptr;
        std::string tried{};
        for (const auto& id : item->tried) {
            tried.append(tried.empty() ? "" : ",").append(id);
        }
        const auto waited = item->first_sent == time_point{} ? time - item->arrived : item->first_sent - item->arrived;
        this->environment.log.request(
            "request", {{"request_id", item->facts.id},
                        {"outcome", std::string{outcome}},
                        {"status", std::to_string(status)},
                        {"cause", item->cause},
                        {"route", routed ? item->selected->name : std::string{}},
                        {"service", item->service},
                        {"targets", tried},
                        {"waited_ms", internal::to_milliseconds(waited)},
                        {"total_ms", internal::to_milliseconds(time - item->arrived)},
                        {"time_left_ms", internal::to_milliseconds(item->deadline - time)},
                        {"slowness", internal::to_decimal(item->first_slowness)},
                        {"reading_age_ms", internal::to_milliseconds(
                                               std::min<duration>(item->first_reading_age, std::chrono::seconds{999}))},
                        {"retry_after_ms", internal::to_milliseconds(item->retry_after)},
                        {"config_version", std::to_string(item->config->version)}});
        this->count(item, status, outcome, time);
        this->transactions.erase(item);
    }

    void count(const internal::transaction_pointer& item, const int status, const std::string_view outcome,
               const time_point time) {
        std::string name{"requests_total{service=\""};
        name.append(item->service).append("\",outcome=\"").append(outcome).append("\",status=\"");
        name.append(std::to_string(status)).append("\"}");
        this->environment.numbers.count(name);
        if (outcome == "answered") {
            this->environment.numbers.observe("request_seconds{service=\"" + item->service + "\"}",
                                              time - item->arrived);
        }
    }

    // Probes

    void probe(const std::string& name, const target_pool::handle& target) {
        this->prober.probe(
            target->listing, this->services[name].health_path, this->rule.probe_timeout,
            [this, name, target](const load_prober::answer& seen) { this->take_probe(name, target, seen); });
    }

    void take_probe(const std::string& name, const target_pool::handle& target, const load_prober::answer& seen) {
        target->probe_pending = false;
        const auto position = this->services.find(name);
        if (position == this->services.end()) {
            return;
        }
        auto& pool = position->second.scheduler->targets();
        if (seen.load) {
            pool.take_reading(*target, *seen.load, this->now());
        } else if (seen.reached) {
            pool.note_no_report();
        } else if (!seen.inconclusive) {
            pool.note_probe_failure(*target, this->now());
        }
        this->advance_service(name);
    }

    void update_targets(const target_list& list) {
        std::map<std::string, std::vector<listed_target>, std::less<>> by_service{};
        for (const auto& [name, state] : this->services) {
            by_service[name];
        }
        for (const auto& target : list.targets) {
            by_service[target.service].push_back(target);
        }
        this->by_key.clear();
        for (const auto& [name, targets] : by_service) {
            auto& state = this->service(name);
            state.scheduler->targets().update(targets, this->now());
            this->index(state.scheduler->targets());
            for (const auto& record : this->environment.routes.current()->services) {
                if (record.name == name) {
                    state.health_path = record.health_path;
                }
            }
        }
        this->advance();
    }

    void index(const target_pool& pool) {
        for (const auto& target : pool.targets()) {
            const auto key = shared_load::key_of(target->listing.id);
            const auto known = this->foreign.find(key);
            target->foreign = known == this->foreign.end() ? 0U : known->second;
            this->by_key[key] = target;
        }
    }

    void set_foreign(const std::uint32_t key, const std::uint32_t count) {
        if (count == 0U) {
            this->foreign.erase(key);
        } else {
            this->foreign[key] = count;
        }
        const auto position = this->by_key.find(key);
        if (position != this->by_key.end()) {
            position->second->foreign = count;
        }
    }

    [[nodiscard]] nlohmann::json describe_target(const target_pool& pool, const pool_target& target) const {
        const auto time = this->now();
        return {{"id", target.listing.id},
                {"endpoint", target.listing.endpoint},
                {"zone", target.listing.zone},
                {"leaving", target.listing.leaving},
                {"in_flight", target.in_flight},
                {"slowness", pool.slowness(target, time)},
                {"failure_share", target.failure_share},
                {"avoided", target.avoid_until > time}};
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
    this->self->update_targets(list);
}

void forwarder::set_foreign(const std::uint32_t key, const std::uint32_t foreign) {
    this->self->set_foreign(key, foreign);
}

void forwarder::on_load_change(std::function<void(std::uint32_t, std::uint32_t)> action) {
    this->self->load_changed = std::move(action);
}

void forwarder::configure(const repeat_rule& repeats, const std::size_t instances, const double probes_per_target) {
    auto& state = *this->self;
    state.repeats = repeats;
    state.instances = instances;
    state.probes_per_target = probes_per_target;
    for (auto& [name, service] : state.services) {
        service.repeats.configure(repeats, instances);
        service.scheduler->limit_probes(probes_per_target);
    }
}

std::uint64_t forwarder::received() const noexcept {
    return this->self->received;
}

std::size_t forwarder::open() const noexcept {
    return this->self->transactions.size();
}

nlohmann::json forwarder::describe() const {
    auto services = nlohmann::json::object();
    for (const auto& [name, state] : this->self->services) {
        auto targets = nlohmann::json::array();
        for (const auto& target : state.scheduler->targets().targets()) {
            targets.push_back(this->self->describe_target(state.scheduler->targets(), *target));
        }
        services[name] = {{"waiting", state.scheduler->waiting()}, {"targets", std::move(targets)}};
    }
    return {{"services", std::move(services)},
            {"open", this->self->transactions.size()},
            {"probes", this->self->prober.sent()},
            {"connections_opened", this->self->channels.opened()},
            {"connections_idle", this->self->channels.idle()}};
}

} // namespace mangopulley
