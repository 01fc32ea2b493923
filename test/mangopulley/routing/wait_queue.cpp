#include <deque>
#include <map>
#include <string>
#include <vector>

#include <fake/fake_clock.hpp>
#include <mangopulley/routing/wait_queue.hpp>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using mangopulley::wait_queue;
using mangopulley::wait_ticket;
using mangopulley::work_class;

TEST_GROUP(wait_queue) {
    fake::fake_clock time{};
    wait_queue queue{};
    std::deque<wait_ticket> tickets{};

    void push(wait_ticket ticket, const mangopulley::duration left) {
        ticket.deadline = this->time.now() + left;
        this->tickets.push_back(ticket);
        this->queue.push(this->tickets.back());
    }

    [[nodiscard]] std::string serve() {
        const auto* next = this->queue.best(false);
        std::string kind{next->kind};
        this->queue.serve(*next);
        return kind;
    }
};

// Guards against a queue in order of arrival, in which work of low worth makes that of high worth late.
TEST(wait_queue, orders_by_class_then_worth_per_slot_time_then_deadline) {
    const wait_ticket cheap{.kind = "cheap", .worth = 1.0, .expected = 10ms};
    const wait_ticket dear{.kind = "dear", .worth = 4.0, .expected = 10ms};
    const wait_ticket dear_but_long{.kind = "dear_but_long", .worth = 4.0, .expected = 80ms};
    const wait_ticket equal{.kind = "equal", .worth = 1.1, .expected = 10ms};
    const wait_ticket batch{.kind = "batch", .work = work_class::batch, .worth = 100.0, .expected = 1ms};
    const wait_ticket urgent{.kind = "urgent", .work = work_class::interactive, .worth = 0.1, .expected = 50ms};
    this->push(batch, 100ms);
    this->push(dear_but_long, 100ms);
    this->push(cheap, 300ms);
    this->push(equal, 200ms);
    this->push(dear, 500ms);
    this->push(urgent, 1s);
    for (const auto* expected : {"urgent", "dear", "equal", "cheap", "dear_but_long", "batch"}) {
        STRCMP_EQUAL(expected, this->serve().c_str());
    }
    POINTERS_EQUAL(nullptr, this->queue.best(false));
}

// Guards against a kind of low worth that never gets a slot, and against more than its share of them.
TEST(wait_queue, reserves_a_tenth_of_the_slot_time_for_all_waiting_kinds_alike) {
    std::map<std::string, int> served{};
    for (int round = 0; round < 1000; ++round) {
        this->push({.kind = "dear", .worth = 10.0, .expected = 10ms}, 1s);
        this->push({.kind = "cheap", .worth = 1.0, .expected = 10ms}, 1s);
        ++served[this->serve()];
    }
    DOUBLES_EQUAL(50.0, served["cheap"], 2.0);
}

// Guards against an owner that takes the slots of others by sending more requests.
TEST(wait_queue, shares_slot_time_equally_among_owners) {
    for (int number = 0; number < 1000; ++number) {
        this->push({.kind = "flood", .owner = "a", .worth = 10.0, .expected = 10ms}, 1s);
    }
    std::map<std::string, int> served{};
    for (int round = 0; round < 400; ++round) {
        this->push({.kind = "long", .owner = "b", .expected = 30ms}, 2s);
        ++served[this->serve()];
    }
    DOUBLES_EQUAL(100.0, served["long"], 2.0);
}

// Guards against slot time for answers that come too late.
TEST(wait_queue, gives_up_requests_that_cannot_be_answered_in_time) {
    this->push({.kind = "read", .expected = 10ms}, 9ms);
    this->push({.kind = "read", .expected = 10ms}, 11ms);
    this->push({.kind = "unknown"}, 1ms);
    CHECK_EQUAL(1U, this->queue.take_hopeless(this->time.now()).size());
    this->time.advance(1ms);
    CHECK_EQUAL(2U, this->queue.take_hopeless(this->time.now()).size());
    CHECK_EQUAL(0U, this->queue.size());
}

// Guards against trials at suspect targets with requests that can't be rescued.
TEST(wait_queue, finds_the_next_idempotent_request_behind_others) {
    this->push({.kind = "order", .worth = 10.0, .idempotent = false}, 100ms);
    this->push({.kind = "read", .idempotent = true}, 100ms);
    CHECK_TRUE(this->queue.best(false)->kind == "order");
    CHECK_TRUE(this->queue.best(true)->kind == "read");
    this->queue.remove(*this->queue.best(true));
    POINTERS_EQUAL(nullptr, this->queue.best(true));
}
