#include "order_tracker.hpp"

#include <algorithm>
#include <chrono>

#include <fake/raw_peer.hpp>

namespace soak {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds leaving_bound{2'500};
constexpr std::size_t most_in_a_pause = 2U;
constexpr milliseconds stop_time{2'500};
/*! @brief Work that a target still does in the last sixth of the time to stop may be cut. */
constexpr milliseconds longest_work_in_stop = stop_time * 5 / 6;
constexpr milliseconds stop_slack{1'000};
/*! @brief Time that an instance has after a disturbance before its promises with a time bound hold. */
constexpr milliseconds contact_time{5'000};
/*! @brief Time-out of the routes, less what an instance may count a request as older than its caller does. */
constexpr milliseconds route_timeout{1'450};
constexpr std::size_t most_cut_outside_plans = 3U;
constexpr std::size_t most_denied = 5U;
constexpr std::size_t orders_per_denied = 500U;

[[nodiscard]] bool promises_not_run(const int status) {
    constexpr int too_busy = 429;
    constexpr int unavailable = 503;
    constexpr int request_timeout = 408;
    constexpr int misdirected = 421;
    return status == too_busy || status == unavailable || status == request_timeout || status == misdirected;
}

} // namespace

std::string make_body(const std::string_view owner, const std::size_t size) {
    constexpr std::size_t longest = 500'000U;
    static const auto numbers = fake::numbered_text(longest);
    std::string text{owner};
    text += ' ';
    text.append(numbers, 0U, size - std::min(size, text.size()));
    return text;
}

order_tracker::order_tracker(const mangopulley::clock& source, const std::size_t instances)
    : time{source}, records(instances), advice{leaving_bound} {}

order& order_tracker::send(order&& sent) {
    const auto id = sent.id;
    sent.sent_at = this->time.now();
    this->advice.sent(id, std::to_string(sent.instance), sent.sent_at);
    ++this->total.sent;
    ++this->records[sent.instance].asked;
    return this->orders.insert_or_assign(id, std::move(sent)).first->second;
}

order* order_tracker::arrive(const mangopulley::http_request& request) {
    const auto id = request.head.get("Mangopulley-Request-Id", "");
    const auto position = this->orders.find(id);
    if (position == this->orders.end()) {
        this->report("UNASKED", id, "no caller sent this request");
        return nullptr;
    }
    auto& item = position->second;
    item.passed_on = true;
    if (request.head.getMethod() != (item.idempotent ? "GET" : "PUT") || request.path != item.path ||
        request.body != item.body) {
        this->report("UNASKED", id, "method, path or body changed on the way");
    }
    return &item;
}

void order_tracker::judge_advice(const order& item, const std::string& target, const time_point arrived_at,
                                 const bool misdirected) {
    const auto before = this->advice.result();
    this->advice.arrived(item.id, target, arrived_at);
    const auto& after = this->advice.result();
    // Requests that get 421 count in pauses only.
    if (!misdirected && after.after_leaving > before.after_leaving) {
        this->report("DRAIN", item.id, "reached " + target + " after its instance knew that it leaves");
    }
    if (after.most_during_pause > std::max(before.most_during_pause, most_in_a_pause)) {
        this->report("BUDGET", item.id,
                     "more than two requests reached " + target + " in a pause that it wanted" +
                         (misdirected ? "; this one got 421" : ""));
    }
}

void order_tracker::record_event(order& item, const std::string& event) const {
    const auto passed = std::chrono::duration_cast<milliseconds>(this->time.now() - item.sent_at);
    item.trace.append("  after ").append(std::to_string(passed.count())).append(" ms: ").append(event).append("\n");
}

std::string order_tracker::trace_of(const std::string& id) const {
    const auto position = this->orders.find(id);
    return position == this->orders.end() ? std::string{} : position->second.trace;
}

void order_tracker::run(order& item, const std::string& target) {
    this->record_event(item, "runs at " + target);
    ++item.runs;
    if (!item.idempotent && item.runs > 1) {
        this->report("TWICE", item.id, "ran again at " + target);
    }
    if (!item.idempotent && item.refused != 0) {
        this->report("REFUSED", item.id, "ran at " + target + " after status " + std::to_string(item.refused));
    }
}

void order_tracker::pause(const order& item, const std::string& target, const duration length) {
    this->advice.asked_for_pause(item.id, target, length, this->time.now());
}

void order_tracker::excuse(const std::string& id) {
    const auto position = this->orders.find(id);
    if (position != this->orders.end()) {
        position->second.excused = true;
    }
}

void order_tracker::answer(order& item, const seen_response& response) {
    this->record_event(item, "caller gets status " + std::to_string(response.status) + " from instance " +
                                 std::to_string(item.instance));
    ++this->total.ended;
    const auto named = response.field("mangopulley-request-id");
    if (!named.empty() && named != item.id) {
        this->report("MIXED", item.id, "got the answer to " + named);
    }
    constexpr int first_failure = 300;
    if (response.status < first_failure) {
        this->judge_success(item, response);
    } else {
        this->judge_failure(item, response);
    }
}

void order_tracker::judge_success(order& item, const seen_response& response) {
    ++this->total.served;
    ++this->records[item.instance].served;
    if (response.field("mangopulley-response-stamp").empty() || !item.given.contains(response.status)) {
        this->report("MIXED", item.id, "success that no target gave");
    } else if (response.body != item.expected_answer) {
        constexpr std::size_t shown = 60U;
        this->report("MIXED", item.id,
                     "body of " + std::to_string(response.body.size()) + " bytes instead of the " +
                         std::to_string(item.expected_answer.size()) +
                         " that the target gave: " + response.body.substr(0U, shown));
    }
    if (!item.leaving_target.empty() && response.field("mangopulley-response-stamp") == item.leaving_target) {
        this->advice.said_leaving(item.id, item.leaving_target, this->time.now());
    }
}

void order_tracker::judge_failure(order& item, const seen_response& response) {
    constexpr int first_server_failure = 500;
    const auto status = std::to_string(response.status);
    const bool stamped = !response.field("mangopulley-response-stamp").empty();
    if (stamped && !item.given.contains(response.status)) {
        this->report("MIXED", item.id, "status " + status + " with a stamp, which no target gave");
    }
    if (promises_not_run(response.status)) {
        ++this->total.refused;
        item.refused = response.status;
        if (!item.idempotent && item.runs > 0) {
            this->report("REFUSED", item.id, "status " + status + " though it ran");
        }
        return;
    }
    ++this->total.other;
    if (response.status < first_server_failure && item.idempotent) {
        this->denied.push_back(item.id + " status " + status);
    }
    // A target has to be at work: after rejections, or a reset before the target read anything, a failure is in order.
    if (!stamped && response.status >= first_server_failure && item.runs > 0) {
        this->judge_loss(item, "status " + status + " in place of its answer");
    }
}

void order_tracker::end(const order& item) {
    ++this->total.ended;
    ++this->total.other;
    this->judge_loss(item, "connection ended without its answer");
}

void order_tracker::abandon(const order& item) {
    ++this->total.ended;
    ++this->total.other;
    this->total.unanswered += this->disturbed(item) ? 0 : 1;
}

bool order_tracker::disturbed(const order& item) const {
    const auto& disturbed_at = this->records[item.instance].disturbed_at;
    return disturbed_at && *disturbed_at + contact_time > item.sent_at;
}

void order_tracker::judge_loss(const order& item, const std::string& ending) {
    const auto now = this->time.now();
    const auto& instance = this->records[item.instance];
    if (!item.passed_on || item.excused || this->disturbed(item) || now >= item.sent_at + route_timeout) {
        return;
    }
    const bool planned = instance.planned_at != time_point{} && now >= instance.planned_at &&
                         now <= instance.planned_at + stop_time + stop_slack;
    if (!planned) {
        this->cut.push_back(item.id + ' ' + ending);
    } else if (item.answer_written_at || now < instance.planned_at + longest_work_in_stop) {
        this->report("LOST", item.id, ending + (instance.stopping ? ", after SIGTERM" : ", after SIGHUP"));
    }
}

void order_tracker::disturb(const std::size_t instance) {
    this->records[instance].disturbed_at = this->time.now();
}

void order_tracker::restart(const std::size_t instance) {
    this->advice.excuse(std::to_string(instance));
}

void order_tracker::plan(const std::size_t instance, const bool stopping) {
    this->records[instance].planned_at = this->time.now();
    this->records[instance].stopping = stopping;
}

void order_tracker::report(const std::string& rule, const std::string& id, const std::string& text) {
    this->found.push_back({rule, id, text});
}

void order_tracker::finish() {
    if (this->cut.size() > most_cut_outside_plans) {
        for (const auto& item : this->cut) {
            this->report("LOST", item.substr(0U, item.find(' ')), item + ", outside stops and reloads");
        }
    }
    if (this->denied.size() > most_denied + static_cast<std::size_t>(this->total.sent) / orders_per_denied) {
        for (const auto& item : this->denied) {
            this->report("DENIED", item.substr(0U, item.find(' ')), item);
        }
    }
}

} // namespace soak
