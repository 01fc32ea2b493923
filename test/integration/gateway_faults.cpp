#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "gateway_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace mangopulley;
using namespace integration;

namespace {

using connection = loopback_target::connection;

constexpr milliseconds freeze_time{4'000};
constexpr std::size_t slots_of_targets = 2U * target_count;

/*! @brief Targets that write each answer once more while the next request on the connection is under way, and that
 * lose some answers. */
struct faulty_targets : gateway_fixture {
    static constexpr std::uint32_t loss_period = 10U;
    bool copies_answers{};
    bool loses_answers{};
    std::minstd_rand random{1U};
    /*! @brief Answer that is due once more on a connection. */
    std::map<const connection*, std::string> copies{};
    int copies_sent{};
    int lost_answers{};

    void setup() override {
        gateway_fixture::setup();
        for (const auto& target : targets) {
            target->act = [this](connection& from, const http_request& request) { serve(from, request); };
        }
    }

    void serve(connection& from, const http_request& request) {
        const auto id = request.head.get("Mangopulley-Request-Id", "");
        ++seen.runs[id];
        if (auto copy = std::exchange(copies[&from], {}); !copy.empty()) {
            ++copies_sent;
            write_after(milliseconds{random() % static_cast<std::uint32_t>(work_time.count())}, from, std::move(copy));
        }
        if (loses_answers && random() % loss_period == 0U) {
            ++lost_answers;
            loop.after(work_time, [&from] { from.close(); });
            return;
        }
        const auto body = "ran " + id;
        const auto text =
            "HTTP/1.1 200 OK\r\nMangopulley-Request-Id: " + id +
            "\r\nMangopulley-Response-Stamp: s\r\nMangopulley-Server-Load: 0,0,2,100\r\nContent-Length: " +
            std::to_string(body.size()) + "\r\n\r\n" + body;
        if (copies_answers) {
            copies[&from] = text;
        }
        write_after(work_time, from, text);
    }

    void write_after(const duration wait, connection& to, std::string text) {
        loop.after(wait, [&to, text = std::move(text)] {
            if (to.bytes) {
                to.write(text);
            }
        });
    }

    /*! @brief Sends requests for a time and returns a summary of what became of them. */
    std::string load_and_describe(const duration length) {
        load(length);
        pass(seconds{2});
        return describe_answers() + "; " + std::to_string(copies_sent) + " copies, " + std::to_string(lost_answers) +
               " answers lost";
    }
};

/*! @brief Callers that send orders to an instance of the test's choice. */
struct order_sender : gateway_fixture {
    /*! @brief Sends orders to one instance, as many as the targets have slots for, and returns their ids. */
    std::vector<std::string> send_orders(const std::size_t index, const std::string& name) {
        addresses = {ip(index) + ':' + port(caller_port_number)};
        std::vector<std::string> ids{};
        for (std::size_t number = 0U; number < slots_of_targets; ++number) {
            ids.push_back("p" + name + std::to_string(number));
            ++seen.asked;
            ask("PUT", prefix, ids.back(), 0U);
        }
        return ids;
    }
};

} // namespace

TEST_GROUP_BASE(gateway_faulty_targets, faulty_targets){};

// Guards against a caller that gets the answer of another one, because a target wrote that answer twice.
TEST(gateway_faulty_targets, gives_no_caller_the_late_copy_of_another_answer) {
    begin();
    copies_answers = true;
    const auto summary = load_and_describe(seconds{4});
    UT_PRINT(summary.c_str());
    CHECK_TRUE_TEXT(copies_sent > 50, summary.c_str());
    check_promises();
    CHECK_TRUE_TEXT(seen.answered * 10 >= seen.asked * 9, describe_unanswered().c_str());
}

// Guards against an order that runs again, or of which its caller is told that it did not run, after its answer was
// lost.
TEST(gateway_faulty_targets, runs_no_order_again_whose_answer_was_lost) {
    begin();
    loses_answers = true;
    const auto summary = load_and_describe(seconds{4});
    UT_PRINT(summary.c_str());
    CHECK_TRUE_TEXT(lost_answers > 10 && seen.unknown > 0, summary.c_str());
    check_promises();
}

TEST_GROUP_BASE(gateway_faults, order_sender){};

// Guards against orders that run twice, answers that are mixed up, and departed targets or old routes in use, when an
// instance that was frozen goes on with what it had begun and with what it knew.
TEST(gateway_faults, keeps_its_promises_after_a_freeze) {
    begin();
    load(milliseconds{500});
    const auto frozen = named_instance();
    CHECK_TRUE(instances[frozen]->freeze());
    const expected_state second{"/second/", prefix, {"t0"}};
    store->put_target("t0", target_of("t0").endpoint(), "draining");
    load(milliseconds{500});
    store->put_config(2U, second.current);
    prefix = second.current;
    pass(bound);
    load(freeze_time - bound - milliseconds{500});
    instances[frozen]->wake();
    // As long after the freeze as any instance may take to follow the store.
    load(bound);
    ask_all(second, seconds{2});
    check(second, "after the freeze");
    pass(seconds{1});
    check_promises();
    STRCMP_EQUAL("", faults.c_str());
}

// Guards against orders that reach a target after their callers left: an instance that was frozen reads them late.
TEST(gateway_faults, runs_no_order_whose_caller_left_during_a_freeze) {
    begin();
    const auto frozen = named_instance();
    CHECK_TRUE(instances[frozen]->freeze());
    const auto left = send_orders(frozen, "left");
    pass(milliseconds{500});
    callers.clear();
    const auto stayed = send_orders(frozen, "stayed");
    pass(milliseconds{500});
    instances[frozen]->wake();
    pass(seconds{2});
    std::string ran{};
    for (const auto& id : left) {
        ran += seen.runs.contains(id) ? lines_about(id) : "";
    }
    LONGS_EQUAL_TEXT(stayed.size(), seen.answered, describe_unanswered().c_str());
    STRCMP_EQUAL("", ran.c_str());
}

// Guards against running requests that are given up or sent elsewhere because their targets are missing from the list.
TEST(gateway_faults, completes_requests_at_targets_that_the_list_lost) {
    begin();
    addresses = {ip(named_instance()) + ':' + port(caller_port_number)};
    next_refresh = time_point::max();
    for (const auto& target : targets) {
        store->remove_target(target->id);
    }
    // Orders are under way all the time, so that some are when the instance reads the list.
    const auto end = time.now() + bound + milliseconds{500};
    while (time.now() < end) {
        const auto id = "p" + std::to_string(++seen.asked);
        slow.insert(id);
        ask("PUT", prefix, id, 0U);
        pass(long_work_time / (slots_of_targets - 2U));
    }
    pass_until([this] { return seen.answered + seen.refused + seen.unknown == seen.asked; });
    check_promises();
    LONGS_EQUAL_TEXT(0, seen.unknown, describe_unanswered().c_str());
    CHECK_TRUE_TEXT(seen.answered > 0 && count_lines("outcome=no_target status=503") > 0U, describe_answers().c_str());
}

// Guards against departed targets and old routes in use again by instances that start while the store is away.
TEST(gateway_faults, uses_nothing_departed_after_restarts_without_the_store) {
    begin();
    const expected_state second{"/second/", prefix, {"t0", "t1"}};
    store->put_config(2U, second.current);
    store->put_target("t0", target_of("t0").endpoint(), "draining");
    store->put_target("t1", target_of("t1").endpoint(), "draining");
    pass(bound);
    store->remove_target("t0");
    pass(seconds{1});
    store->away = true;
    for (std::size_t restarted = 0U; restarted < instance_count; ++restarted) {
        instances[restarted]->kill();
        start(restarted);
        const auto when = "after the restart of instance " + std::to_string(restarted);
        ask_all(second, seconds{2});
        check(second, when, restarted);
        ask_all(second, seconds{1});
        check(second, when + ", later");
    }
    STRCMP_EQUAL("", faults.c_str());
}
