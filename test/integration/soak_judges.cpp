#include <chrono>
#include <sstream>
#include <string>
#include <utility>

#include <fake/fake_clock.hpp>
#include <mangopulley/http/http_message.hpp>
#include <soak/order_tracker.hpp>
#include <soak/response_reader.hpp>
#include <soak/schedule.hpp>

#include <CppUTest/TestHarness.h>

using namespace soak;
using std::chrono::seconds;

namespace {

constexpr int success = 200;
constexpr int unavailable = 503;

/*! @brief An order tracker with one instance, and what callers and targets tell it. */
struct judged_run : Utest {
    fake::fake_clock time{};
    order_tracker tracker{time, 1U};

    order& send(const std::string& id) {
        order sent{};
        sent.id = id;
        sent.path = "/put/x";
        sent.body = make_body("asks " + id, 100U);
        sent.expected_answer = make_body("ran " + id, 100U);
        return tracker.send(std::move(sent));
    }

    static mangopulley::http_request request_for(const order& sent) {
        mangopulley::http_request request{};
        request.head.setMethod("PUT");
        request.head.set("Mangopulley-Request-Id", sent.id);
        request.path = sent.path;
        request.body = sent.body;
        return request;
    }

    order& run_at_target(const std::string& id) {
        auto& sent = send(id);
        CHECK_TRUE(tracker.arrive(request_for(sent)) == &sent);
        tracker.judge_advice(sent, "t", time.now(), false);
        tracker.run(sent, "t");
        sent.given.insert(success);
        return sent;
    }

    static seen_response response(const int status, const std::string& stamp, const std::string& body) {
        seen_response made{};
        made.status = status;
        made.body = body;
        if (!stamp.empty()) {
            made.fields["mangopulley-response-stamp"] = stamp;
        }
        return made;
    }

    /*! @brief Returns the rules that were broken so far, each with the id. */
    std::string broken() const {
        std::string text{};
        for (const auto& item : tracker.violations()) {
            text += item.rule + ' ' + item.id + ';';
        }
        return text;
    }
};

[[nodiscard]] std::string body_of(const std::string& bytes) {
    response_reader reader{};
    const auto state = reader.feed(bytes);
    return state == response_reader::state::complete     ? "whole " + reader.response().body
           : state == response_reader::state::incomplete ? "incomplete"
                                                         : "malformed";
}

} // namespace

TEST_GROUP_BASE(soak_judges, judged_run){};

// Guards against a soak that reports what is allowed.
TEST(soak_judges, accept_whole_answers_and_true_refusals) {
    auto& answered = run_at_target("a");
    tracker.answer(answered, response(success, "t", answered.expected_answer));
    tracker.answer(send("b"), response(unavailable, "", ""));
    tracker.end(send("c"));
    tracker.finish();
    STRCMP_EQUAL("", broken().c_str());
}

// Guards against a soak that misses an order which ran before or after its refusal, or twice.
TEST(soak_judges, report_refused_orders_that_run_and_orders_that_run_twice) {
    tracker.answer(run_at_target("a"), response(unavailable, "", ""));
    auto& refused = send("b");
    tracker.answer(refused, response(unavailable, "", ""));
    tracker.run(refused, "t");
    tracker.run(run_at_target("c"), "u");
    STRCMP_EQUAL("REFUSED a;REFUSED b;TWICE c;", broken().c_str());
}

// Guards against a soak that takes a part of an answer, another's answer or an invented one for the caller's own.
TEST(soak_judges, report_answers_that_are_not_whole_or_not_own) {
    auto& cut = run_at_target("a");
    tracker.answer(cut, response(success, "t", cut.expected_answer.substr(1U)));
    auto& crossed = run_at_target("b");
    auto other = response(success, "t", crossed.expected_answer);
    other.fields["mangopulley-request-id"] = "a";
    tracker.answer(crossed, other);
    auto& invented = send("c");
    tracker.answer(invented, response(success, "t", invented.expected_answer));
    constexpr int failure = 500;
    tracker.answer(run_at_target("d"), response(failure, "t", ""));
    STRCMP_EQUAL("MIXED a;MIXED b;MIXED c;MIXED d;", broken().c_str());
}

// Guards against a soak that misses requests which no caller sent, or not so.
TEST(soak_judges, report_requests_that_no_caller_sent) {
    order unknown{};
    unknown.id = "x";
    CHECK_TRUE(tracker.arrive(request_for(unknown)) == nullptr);
    auto changed = request_for(send("a"));
    changed.body += '!';
    CHECK_TRUE(tracker.arrive(changed) != nullptr);
    STRCMP_EQUAL("UNASKED x;UNASKED a;", broken().c_str());
}

// Guards against a soak that misses an order which is lost in a planned stop, or blames an instance that was killed.
TEST(soak_judges, report_orders_lost_in_a_planned_stop) {
    time.advance(seconds{100});
    const auto& lost = run_at_target("a");
    tracker.plan(0U, true);
    time.advance(seconds{1});
    tracker.end(lost);
    constexpr int bad_gateway = 502;
    tracker.answer(run_at_target("replaced"), response(bad_gateway, "", ""));
    STRCMP_EQUAL("LOST a;LOST replaced;", broken().c_str());
    auto& rejected = send("rejected");
    CHECK_TRUE(tracker.arrive(request_for(rejected)) == &rejected);
    tracker.answer(rejected, response(bad_gateway, "", ""));
    const auto& excused = run_at_target("b");
    tracker.disturb(0U);
    tracker.end(excused);
    STRCMP_EQUAL("LOST a;LOST replaced;", broken().c_str());
}

// Guards against a soak that misses requests to a target that leaves or wants a pause, or blames a new process.
TEST(soak_judges, report_requests_against_the_advice_of_targets) {
    auto& told = run_at_target("a");
    told.leaving_target = "t";
    tracker.answer(told, response(success, "t", told.expected_answer));
    time.advance(seconds{3});
    static_cast<void>(run_at_target("b"));
    STRCMP_EQUAL("DRAIN b;", broken().c_str());
    tracker.judge_advice(send("misdirected"), "t", time.now(), true);
    tracker.restart(0U);
    static_cast<void>(run_at_target("c"));
    STRCMP_EQUAL("DRAIN b;", broken().c_str());
    tracker.pause(send("d"), "t", seconds{3});
    time.advance(seconds{1});
    static_cast<void>(run_at_target("e"));
    static_cast<void>(run_at_target("f"));
    tracker.judge_advice(send("g"), "t", time.now(), true);
    STRCMP_EQUAL("DRAIN b;BUDGET g;", broken().c_str());
}

// Guards against a reader of the soak that takes a part of a response for the whole.
TEST(soak_judges, read_responses_strictly) {
    const std::string chunked{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"};
    STRCMP_EQUAL("whole ab", body_of("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab").c_str());
    STRCMP_EQUAL("incomplete", body_of("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\na").c_str());
    STRCMP_EQUAL("incomplete", body_of("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n").c_str());
    STRCMP_EQUAL("whole abc", body_of(chunked + "2\r\nab\r\n1\r\nc\r\n0\r\n\r\n").c_str());
    STRCMP_EQUAL("incomplete", body_of(chunked + "2\r\nab\r\n").c_str());
    STRCMP_EQUAL("malformed", body_of(chunked + "2\r\nabc\r\n0\r\n\r\n").c_str());
    STRCMP_EQUAL("malformed", body_of("ab\r\n\r\n").c_str());
    response_reader reader{};
    CHECK_TRUE(reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nextra") == response_reader::state::complete);
    CHECK_FALSE(reader.begin_next());
}

// Guards against a printed schedule that can't be replayed.
TEST(soak_judges, replay_schedules_as_printed) {
    constexpr std::size_t targets = 4U;
    std::ostringstream drawn{};
    write_schedule(drawn, draw_schedule(7U, seconds{20}, 3U, targets));
    std::istringstream printed{"# a comment\n" + drawn.str()};
    std::ostringstream replayed{};
    write_schedule(replayed, read_schedule(printed));
    STRCMP_EQUAL(drawn.str().c_str(), replayed.str().c_str());
    CHECK_FALSE(drawn.str().empty());
}
