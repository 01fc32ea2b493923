#include <csignal>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <fake/raw_peer.hpp>
#include <fcntl.h>
#include <standin/common/descriptor.hpp>
#include <sys/stat.h>

#include "gateway_fixture.hpp"

#include <CppUTest/TestHarness.h>

using namespace mangopulley;
using namespace integration;

TEST_GROUP_BASE(gateway_platform, integration::gateway_fixture){};

// Guards against requests lost, doubled or mixed up while instances are killed and start again.
TEST(gateway_platform, keeps_its_promises_while_instances_are_killed) {
    begin();
    load(milliseconds{500});
    for (int round = 0; round < 2; ++round) {
        const auto victim = named_instance();
        instances[victim]->kill();
        load(milliseconds{1'200});
        start(victim);
        load(milliseconds{1'500});
    }
    pass(seconds{2});
    check_promises();
    CHECK_TRUE_TEXT(seen.answered * 10 >= seen.asked * 9, "nine in ten requests are answered");
}

// Guards against a planned stop that cuts requests off.
TEST(gateway_platform, loses_no_request_in_a_planned_stop) {
    begin();
    load(milliseconds{500});
    const auto stopped = named_instance();
    instances[stopped]->signal(SIGTERM);
    load(milliseconds{3'200});
    pass(seconds{2});
    check_promises();
    CHECK_TRUE(instances[stopped]->wait_exit(seconds{3}) == 0);
    LONGS_EQUAL(0, seen.unknown);
    LONGS_EQUAL(seen.asked, seen.answered + seen.refused);
}

// Guards against a planned stop that cuts off a request that came late in it: an instance that may end before the
// response refuses the request before it is sent to a target.
TEST(gateway_platform, answers_or_refuses_requests_that_come_late_in_a_planned_stop) {
    begin();
    const auto stopped = named_instance();
    addresses = {ip(stopped) + ':' + port(caller_port_number)};
    // Kept by callers whose address list is old.
    next_refresh = time_point::max();
    const auto began = time.now();
    instances[stopped]->signal(SIGTERM);
    while (time.now() < began + milliseconds{1'800}) {
        const auto id = "p" + std::to_string(++seen.asked);
        if (time.now() > began + milliseconds{1'000}) {
            slow.insert(id);
        }
        ask("PUT", prefix, id, 0U);
        pass(milliseconds{50});
    }
    pass_until([this] { return seen.answered + seen.refused + seen.unknown == seen.asked; });
    CHECK_TRUE(instances[stopped]->wait_exit(seconds{3}) == 0);
    check_promises();
    LONGS_EQUAL_TEXT(0, seen.unknown, describe_answers().c_str());
    LONGS_EQUAL(seen.asked, seen.answered + seen.refused);
    CHECK_TRUE_TEXT(seen.answered > 0 && seen.refused > 0, describe_answers().c_str());
}

// Guards against a planned stop that cuts an upload in the middle of its body: what was read is forwarded and answered.
TEST(gateway_platform, completes_an_upload_during_a_planned_stop) {
    begin();
    const auto stopped = named_instance();
    constexpr std::size_t length = 600'000U;
    constexpr std::size_t sent_before_stop = 400'000U;
    const auto text = fake::numbered_text(length);
    http_channel caller{loop, ip(stopped) + ':' + port(caller_port_number), stream_timing{}, 100'000U};
    const auto head = "PUT " + prefix + "x HTTP/1.1\r\nHost: h.example\r\nMangopulley-Request-Id: upload-1\r\n" +
                      "Mangopulley-Deadline-Ms: 1500\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
    int status = 0;
    caller.send({head, std::string_view{text}.substr(0U, sent_before_stop), true, false, length}, {},
                [&status](exchange_outcome&& outcome) { status = outcome.failure ? -1 : outcome.response.status(); });
    pass(milliseconds{200});
    instances[stopped]->signal(SIGTERM);
    pass(milliseconds{300});
    LONGS_EQUAL(0, status);
    caller.send_body(std::string_view{text}.substr(sent_before_stop), true);
    pass(milliseconds{500});
    LONGS_EQUAL(200, status);
    LONGS_EQUAL(1, seen.runs["upload-1"]);
    for (const auto& target : targets) {
        for (const auto& request : target->received) {
            CHECK_TRUE(request.head.get("Mangopulley-Request-Id", "") != "upload-1" || request.body == text);
        }
    }
    CHECK_TRUE(instances[stopped]->wait_exit(seconds{3}) == 0);
}

// Guards against a process that is ended for its memory when many callers upload at once: the budget bounds what is
// held, and callers whose body has no room are told so.
TEST(gateway_platform, bounds_its_memory_in_a_flood_of_uploads) {
    begin();
    const auto used = named_instance();
    constexpr int uploads = 100;
    constexpr std::size_t length = 8'000'000U;
    const std::string text(length, 'x');
    std::map<int, int> statuses{};
    std::vector<std::unique_ptr<http_channel>> senders{};
    for (int number = 0; number < uploads; ++number) {
        senders.push_back(
            std::make_unique<http_channel>(loop, ip(used) + ':' + port(caller_port_number), stream_timing{}, 100'000U));
        const auto head = "PUT " + prefix + "x HTTP/1.1\r\nHost: h.example\r\nMangopulley-Request-Id: flood-" +
                          std::to_string(number) +
                          "\r\nMangopulley-Deadline-Ms: 1500\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
        senders.back()->send({head, text, false, false, length}, {}, [&statuses, number](exchange_outcome&& outcome) {
            statuses[number] = outcome.failure ? -1 : outcome.response.status();
        });
    }
    pass_until([&statuses] { return statuses.size() == uploads; });
    LONGS_EQUAL(uploads, statuses.size());
    for (const auto& [number, status] : statuses) {
        CHECK_TRUE(status == 200 || status == 502 || status == 503 || status == 504 || status == -1);
    }
    check_recovered_within_memory(used);
}

// Guards against old routes and leaving targets later than 2 s after the store knew, and against a store outage that
// stops the service.
TEST(gateway_platform, follows_the_store_within_its_bound_and_outlives_it) {
    begin();
    targets.front()->received.clear();
    store->put_target("t0", targets.front()->endpoint(), "draining");
    prefix = "/new/";
    store->put_config(2U, prefix);
    pass(bound);
    targets.front()->received.clear();
    load(milliseconds{1'000});
    pass(milliseconds{500});
    LONGS_EQUAL(0, targets.front()->received.size());
    LONGS_EQUAL(0, seen.not_found);
    store->away = true;
    load(seconds{4});
    pass(milliseconds{500});
    CHECK_TRUE_TEXT(seen.answered * 100 >= seen.asked * 98, describe_unanswered().c_str());
    check_promises();
}

// Guards against routes and targets of the past, and a storm of calls, when the store has lost what it acknowledged.
TEST(gateway_platform, keeps_what_it_knew_when_the_store_returns_from_an_older_copy) {
    constexpr milliseconds until_restart{600};
    constexpr milliseconds after_restart{1'200};
    constexpr std::size_t restarted = 0U;
    const expected_state second{"/second/", prefix, {"t0", "t1"}};
    const expected_state third{"/third/", second.current, {"t0", "t1", "t2"}};
    begin();
    store->save_copy();
    store->put_others(100U);
    store->put_config(2U, second.current);
    store->put_target("t0", target_of("t0").endpoint(), "draining");
    store->put_target("t1", target_of("t1").endpoint(), "draining");
    add_target("joined");
    pass(bound);
    store->remove_target("t0");
    const auto reached = store->revision();
    const auto calls_before = store->calls;
    ask_all(second, until_restart + after_restart);
    const auto calm_calls = store->calls - calls_before;
    check(second, "before the outage");
    check_used("joined", "before the outage");

    store->away = true;
    ask_all(second, seconds{1});
    check(second, "while the store is away");

    store->return_from_copy();
    const auto calls_at_return = store->calls;
    ask_all(second, until_restart);
    check(second, "after the return");
    instances[restarted]->kill();
    start(restarted);
    ask_all(second, after_restart);
    check(second, "after the restart", restarted);
    check_used("joined", "after the restart", restarted);
    expect(instances[restarted]->output().find("event=config_changed version=1 ") == std::string::npos,
           "after the restart", "the restarted instance takes the configuration of the copy");
    const auto calls = store->calls - calls_at_return;
    expect(calls <= calm_calls * 3 + 10, "after the return",
           std::to_string(calls) + " store calls, " + std::to_string(calm_calls) + " in a calm time");

    store->put_config(2U, second.current);
    store->remove_target("t0");
    store->put_target("t1", target_of("t1").endpoint(), "draining");
    store->put_target("joined", target_of("joined").endpoint(), "ready");
    ask_all(second, bound);
    check(second, "after the second write", restarted);
    check_used("joined", "after the second write", restarted);

    store->put_config(3U, third.current);
    store->put_target("t2", target_of("t2").endpoint(), "draining");
    CHECK_TRUE(store->revision() < reached);
    pass(bound);
    ask_all(third, milliseconds{1'200});
    check(third, "after the next configuration");
    check_used("joined", "after the next configuration");
    STRCMP_EQUAL("", faults.c_str());
}

// Guards against requests whose cause cannot be found afterwards, each with another way to end.
TEST(gateway_platform, leaves_a_line_for_every_way_in_which_a_request_ends) {
    begin();
    ask("GET", "/get/", "answered-1");
    ask("GET", "/none/", "no-route-1");
    stuck.insert("late-1");
    ask("PUT", prefix, "late-1");
    lost.insert("broken-1");
    ask("PUT", prefix, "broken-1");
    pass(seconds{2});
    for (const auto& target : targets) {
        store->put_target(target->id, target->endpoint(), "draining");
    }
    pass(bound);
    ask("GET", "/get/", "refused-1");
    pass(milliseconds{500});
    LONGS_EQUAL(1, count_lines("request_id=answered-1 outcome=answered status=200"));
    LONGS_EQUAL(1, count_lines("request_id=no-route-1 outcome=no_route status=404"));
    LONGS_EQUAL(1, count_lines("request_id=late-1 outcome=time_limit status=504"));
    LONGS_EQUAL(1, count_lines("request_id=broken-1 outcome=broken status=502"));
    LONGS_EQUAL(1, count_lines("request_id=refused-1 outcome=no_target status=503"));
}

// Guards against a flood of requests that becomes a flood of lines; what is left out has to be counted in the log.
TEST(gateway_platform, bounds_its_lines_in_a_flood) {
    constexpr int requests = 8'000;
    constexpr double lines_per_second = 300.0;
    begin();
    const auto begun = time.now();
    flood(requests);
    pass(milliseconds{100});
    const auto seconds_passed = std::chrono::duration<double>(time.now() - begun).count();
    LONGS_EQUAL_TEXT(requests, seen.not_found, "every request has its answer");
    const auto lines = count_lines("outcome=no_route");
    // One second's worth may have been saved up by each instance.
    CHECK_TRUE(static_cast<double>(lines) <= instance_count * lines_per_second * (seconds_passed + 1.0));
    ask("GET", "/get/", "after");
    pass(milliseconds{500});
    CHECK_TRUE_TEXT(lines == requests || count_lines("event=log_lines_dropped") > 0U, "dropped lines are counted");
}

// Guards against requests that wait for whoever reads the log: the pipe is full and nobody reads it.
TEST(gateway_platform, answers_while_nobody_reads_its_log) {
    std::vector<std::unique_ptr<standin::descriptor>> pipes{};
    for (std::size_t index = 0U; index < instance_count; ++index) {
        const auto path = folder / ("output" + std::to_string(index));
        LONGS_EQUAL(0, ::mkfifo(path.c_str(), 0600));
        // Held open, so that the instance can open it for writing, and never read.
        pipes.push_back(std::make_unique<standin::descriptor>(::open(path.c_str(), O_RDWR | O_CLOEXEC)));
    }
    begin();
    // More lines than the 2,000 that an instance keeps and the 64 KB that a pipe holds, at 300 lines a second.
    const auto enough = time.now() + seconds{10};
    constexpr int requests = 1'000;
    int asked = 0;
    for (; time.now() < enough; asked += requests) {
        flood(requests);
    }
    LONGS_EQUAL(asked, seen.not_found);
    seen = {};
    load(milliseconds{500});
    pass(milliseconds{500});
    LONGS_EQUAL(seen.asked, seen.answered);
}
