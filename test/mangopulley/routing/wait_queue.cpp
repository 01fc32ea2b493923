#include <deque>
#include <map>
#include <string>
#include <vector>

#include <fake/fake_clock.hpp>
#include <mangopulley/routing/wait_queue.hpp>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using mangopulley::queued_request;
using mangopulley::wait_queue;
using mangopulley::work_class;

TEST_GROUP(wait_queue) {
    fake::fake_clock time{};
    wait_queue queue{};
    std::deque<queued_request> requests{};

    void push(queued_request request, const mangopulley::duration time_left) {
        request.deadline = this->time.now() + time_left;
        this->requests.push_back(request);
        this->queue.push(this->requests.back());
    }

    [[nodiscard]] std::string serve() {
        const auto* next = this->queue.best(false);
        std::string kind{next->kind};
        this->queue.serve(*next);
        return kind;
    }
};

// Guards against a first-in first-out queue, in which requests of low worth delay those of high worth.
TEST(wait_queue, orders_by_class_then_worth_per_slot_time_then_deadline) {
    const queued_request low_worth{.kind = "low_worth", .worth = 1.0, .expected_response_time = 10ms};
    const queued_request high_worth{.kind = "high_worth", .worth = 4.0, .expected_response_time = 10ms};
    const queued_request high_worth_long{.kind = "high_worth_long", .worth = 4.0, .expected_response_time = 80ms};
    const queued_request equal{.kind = "equal", .worth = 1.1, .expected_response_time = 10ms};
    const queued_request batch{
        .kind = "batch", .work = work_class::batch, .worth = 100.0, .expected_response_time = 1ms};
    const queued_request urgent{
        .kind = "urgent", .work = work_class::interactive, .worth = 0.1, .expected_response_time = 50ms};
    this->push(batch, 100ms);
    this->push(high_worth_long, 100ms);
    this->push(low_worth, 300ms);
    this->push(equal, 200ms);
    this->push(high_worth, 500ms);
    this->push(urgent, 1s);
    for (const auto* expected : {"urgent", "high_worth", "equal", "low_worth", "high_worth_long", "batch"}) {
        STRCMP_EQUAL(expected, this->serve().c_str());
    }
    POINTERS_EQUAL(nullptr, this->queue.best(false));
}

// Guards against a kind of low worth that starves, and against one that gets more than its reserved share.
TEST(wait_queue, splits_a_tenth_of_the_slot_time_equally_among_waiting_kinds) {
    std::map<std::string, int> served{};
    for (int round = 0; round < 1000; ++round) {
        this->push({.kind = "high_worth", .worth = 10.0, .expected_response_time = 10ms}, 1s);
        this->push({.kind = "low_worth", .worth = 1.0, .expected_response_time = 10ms}, 1s);
        ++served[this->serve()];
    }
    DOUBLES_EQUAL(50.0, served["low_worth"], 2.0);
}

// Guards against an owner that gets more slot time than others by sending more requests.
TEST(wait_queue, shares_slot_time_equally_among_owners) {
    for (int number = 0; number < 1000; ++number) {
        this->push({.kind = "flood", .owner = "a", .worth = 10.0, .expected_response_time = 10ms}, 1s);
    }
    std::map<std::string, int> served{};
    for (int round = 0; round < 400; ++round) {
        this->push({.kind = "long", .owner = "b", .expected_response_time = 30ms}, 2s);
        ++served[this->serve()];
    }
    DOUBLES_EQUAL(100.0, served["long"], 2.0);
}

// Guards against slot time spent on responses that miss their deadline.
TEST(wait_queue, removes_requests_that_cannot_meet_their_deadline) {
    this->push({.kind = "read", .expected_response_time = 10ms}, 9ms);
    this->push({.kind = "read", .expected_response_time = 10ms}, 11ms);
    this->push({.kind = "unknown"}, 1ms);
    CHECK_EQUAL(1U, this->queue.remove_unmeetable(this->time.now()).size());
    this->time.advance(1ms);
    CHECK_EQUAL(2U, this->queue.remove_unmeetable(this->time.now()).size());
    CHECK_EQUAL(0U, this->queue.size());
}

// Guards against trials at suspect targets with requests that can be neither retried nor hedged.
TEST(wait_queue, finds_the_next_idempotent_request_behind_others) {
    this->push({.kind = "order", .worth = 10.0, .idempotent = false}, 100ms);
    this->push({.kind = "read", .idempotent = true}, 100ms);
    CHECK_TRUE(this->queue.best(false)->kind == "order");
    CHECK_TRUE(this->queue.best(true)->kind == "read");
    this->queue.remove(*this->queue.best(true));
    POINTERS_EQUAL(nullptr, this->queue.best(true));
}
