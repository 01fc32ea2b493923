#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <integration/advice_judge.hpp>
#include <mangopulley/core/clock.hpp>
#include <mangopulley/http/http_message.hpp>

#include "response_reader.hpp"

namespace soak {

using mangopulley::duration;
using mangopulley::time_point;

/*! @brief How the body of a message is framed. */
enum class framing { length, chunks, end_of_connection };

/*! @brief One request of a caller and what became of it. */
struct order {
    std::string id{};
    bool idempotent{};
    std::string path{};
    std::string body{};
    std::string expected_answer{};
    framing answer_framing{};
    std::size_t instance{};
    time_point sent_at{};
    int runs{};
    /*! @brief Status that promised that the request had not run and would not; 0 for none. */
    int refused{};
    /*! @brief Statuses with a stamp that targets gave. */
    std::set<int> given{};
    /*! @brief Target that said with its answer that it leaves. */
    std::string leaving_target{};
    /*! @brief Whether a target got the request. */
    bool passed_on{};
    /*! @brief Whether a target did something to the request or its connection that excuses a missing answer. */
    bool excused{};
    std::optional<time_point> answer_written_at{};
    /*! @brief What targets did with the request, and when after it was sent; printed with a violation. */
    std::string trace{};
};

/*! @brief Broken promise. */
struct violation {
    std::string rule{};
    std::string id{};
    std::string text{};
};

/*! @brief What happened to an instance from outside. */
struct instance_record {
    /*! @brief Last SIGTERM and SIGHUP. */
    time_point planned_at{};
    bool stopping{};
    /*! @brief End of the last kill, suspension or reset. */
    std::optional<time_point> disturbed_at{};
    int served{};
    int asked{};
};

/*! @brief Numbers of orders by what became of them. */
struct order_counts {
    int sent{};
    int served{};
    int refused{};
    int other{};
    int ended{};
    /*! @brief Orders without an answer long after their time limit, though their instance was not disturbed. */
    int unanswered{};
};

/*! @brief Keeps all orders of a run and judges what callers and targets see. */
class order_tracker {
public:
    order_tracker(const mangopulley::clock& source, std::size_t instances);

    /*! @brief Notes that a caller sends an order; the reference stays valid. */
    order& send(order&& sent);
    /*! @brief Notes a request at a target; returns nothing when no caller sent it. */
    [[nodiscard]] order* arrive(const mangopulley::http_request& request);
    /*! @brief Judges whether a request may reach a target after what this one said; `misdirected` when it gets 421. */
    void judge_advice(const order& item, const std::string& target, time_point arrived_at, bool misdirected);
    /*! @brief Adds to the trace of an order. */
    void record_event(order& item, const std::string& event) const;
    /*! @brief Returns the trace of an order, or nothing when there is none. */
    [[nodiscard]] std::string trace_of(const std::string& id) const;
    /*! @brief Notes that a target begins to work on an order. */
    void run(order& item, const std::string& target);
    /*! @brief Notes that a target rejects an order and asks its sender for a pause. */
    void pause(const order& item, const std::string& target, duration length);
    /*! @brief Notes that a target's fault may cost the answer to an order. */
    void excuse(const std::string& id);
    /*! @brief Notes a whole response at the caller. */
    void answer(order& item, const seen_response& response);
    /*! @brief Notes that the connection ended before a whole response. */
    void end(const order& item);

    /*! @brief Notes that the caller leaves, long after the time limit. */
    void abandon(const order& item);

    /*! @brief Notes a kill, suspension or reset of an instance, or the end of one. */
    void disturb(std::size_t instance);
    /*! @brief Notes a kill or an end of an instance, which then knows nothing of before. */
    void restart(std::size_t instance);
    /*! @brief Notes a SIGTERM or a SIGHUP. */
    void plan(std::size_t instance, bool stopping);
    void report(const std::string& rule, const std::string& id, const std::string& text);
    /*! @brief Judges the counts that are bounded over the whole run. */
    void finish();

    [[nodiscard]] const std::vector<violation>& violations() const noexcept { return this->found; }
    [[nodiscard]] const order_counts& counts() const noexcept { return this->total; }
    [[nodiscard]] std::vector<instance_record>& instances() noexcept { return this->records; }

private:
    void judge_success(order& item, const seen_response& response);
    void judge_failure(order& item, const seen_response& response);
    [[nodiscard]] bool disturbed(const order& item) const;
    void judge_loss(const order& item, const std::string& ending);

    const mangopulley::clock& time;
    std::map<std::string, order, std::less<>> orders{};
    std::vector<instance_record> records;
    integration::advice_judge advice;
    std::vector<violation> found{};
    order_counts total{};
    std::vector<std::string> cut{};
    std::vector<std::string> denied{};
};

/*! @brief Returns a body that belongs to one id and whose parts all differ. */
[[nodiscard]] std::string make_body(std::string_view owner, std::size_t size);

} // namespace soak
