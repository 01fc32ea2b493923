#include <algorithm>
#include <string>
#include <vector>

#include <fake/fake_clock.hpp>
#include <mangopulley/routing/target_table.hpp>

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using mangopulley::attempt_outcome;
using mangopulley::attempt_report;
using mangopulley::load_report;
using mangopulley::target_record;
using mangopulley::target_table;
using mangopulley::target_view;

TEST_GROUP(target_table) {
    fake::fake_clock time{};
    target_table table{{2U, 220U}};
    std::vector<target_record> records{};
    std::vector<target_view> views{};

    void list(const std::size_t count, const int answers = 20) {
        for (std::size_t number = 0U; number < count; ++number) {
            this->records.push_back({"t" + std::to_string(number), "127.0.0.1:" + std::to_string(number), "a", false});
        }
        this->table.update(this->records);
        for (std::size_t number = 0U; number < count; ++number) {
            for (int answer = 0; answer < answers; ++answer) {
                this->run(number, 10ms, {attempt_outcome::answered});
            }
        }
    }

    target_table::attempt* begin(const std::size_t index) {
        return this->table.begin(index, "read", this->time.now());
    }

    void run(const std::size_t index, const mangopulley::duration response_time, const attempt_report& report) {
        auto* in_flight = this->begin(index);
        this->time.advance(response_time);
        static_cast<void>(this->table.end(in_flight, report, this->time.now()));
    }

    [[nodiscard]] const std::vector<target_view>& view(const std::vector<std::string>& excluded = {}) {
        this->table.view(excluded, this->time.now(), this->views);
        return this->views;
    }

    [[nodiscard]] std::size_t avoided() {
        const auto& candidates = this->view();
        return static_cast<std::size_t>(
            std::ranges::count_if(candidates, [](const auto& candidate) { return candidate.avoided; }));
    }
};

// Guards against new requests to a target that stalls while its previous response times still look good.
TEST(target_table, suspects_a_target_with_an_overdue_request_until_a_normal_response) {
    this->list(4U);
    auto* in_flight = this->begin(1U);
    this->time.advance(29ms);
    CHECK_FALSE(this->view()[1U].suspect);
    this->time.advance(1ms);
    CHECK_TRUE(this->view()[1U].avoided);
    static_cast<void>(this->table.end(in_flight, {attempt_outcome::answered}, this->time.now()));
    CHECK_TRUE(this->view()[1U].avoided);
    CHECK_FALSE(this->view()[1U].trial_due);
    this->time.advance(20ms);
    CHECK_TRUE(this->view()[1U].trial_due);
    auto* trial = this->begin(1U);
    CHECK_FALSE(this->view()[1U].trial_open);
    this->time.advance(10ms);
    static_cast<void>(this->table.end(trial, {attempt_outcome::answered}, this->time.now()));
    CHECK_FALSE(this->view()[1U].suspect);
}

// Guards against a target that is avoided indefinitely because of a single long-running request.
TEST(target_table, a_normal_response_clears_a_target_with_another_request_overdue) {
    this->list(4U);
    auto* slow = this->begin(1U);
    this->time.advance(30ms);
    this->run(1U, 10ms, {attempt_outcome::answered});
    CHECK_FALSE(this->view()[1U].suspect);
    this->time.advance(1s);
    static_cast<void>(this->table.end(slow, {attempt_outcome::answered}, this->time.now()));
    CHECK_FALSE(this->view()[1U].suspect);
}

// Guards against an empty pool when many or all targets are slow at once.
TEST(target_table, avoids_at_most_half_of_the_targets_and_none_when_all_are_suspect) {
    const std::size_t expected[] = {0U, 1U, 2U, 3U, 3U, 3U, 0U};
    for (std::size_t suspects = 0U; suspects <= 6U; ++suspects) {
        target_table fresh{{2U, 220U}};
        std::vector<target_record> six_targets{};
        for (char name = 'a'; name < 'g'; ++name) {
            six_targets.push_back({std::string{name}, std::string{name}, "a", false});
        }
        fresh.update(six_targets);
        for (std::size_t index = 0U; index < suspects; ++index) {
            static_cast<void>(
                fresh.end(fresh.begin(index, "read", this->time.now()), {attempt_outcome::broken}, this->time.now()));
        }
        fresh.view({}, this->time.now(), this->views);
        CHECK_EQUAL(expected[suspects],
                    std::ranges::count_if(this->views, [](const auto& candidate) { return candidate.avoided; }));
    }
}

// Guards against a target that attracts traffic by failing fast, and against suspecting a target without evidence.
TEST(target_table, updates_suspicion_and_slowdown_by_outcome) {
    struct expectation {
        const char* name;
        mangopulley::duration age;
        attempt_report report;
        bool suspect;
        bool slower;
    };
    const expectation cases[] = {
        {"normal response", 10ms, {attempt_outcome::answered}, false, false},
        {"slow response", 40ms, {attempt_outcome::answered}, true, true},
        {"fast failure", 1ms, {attempt_outcome::server_error}, true, true},
        {"failure after the normal response time", 10ms, {attempt_outcome::server_error}, false, false},
        {"broken connection", 1ms, {attempt_outcome::broken}, true, true},
        {"refused connection", 1ms, {attempt_outcome::not_sent}, true, false},
        {"deadline shorter than the normal response time", 5ms, {attempt_outcome::timed_out}, false, false},
        {"timed out", 50ms, {attempt_outcome::timed_out}, true, true},
        {"cancelled early", 15ms, {attempt_outcome::cancelled}, false, true},
        {"cancelled late", 50ms, {attempt_outcome::cancelled}, true, true},
        {"shed", 1ms, {attempt_outcome::shed}, false, false},
        {"unused", 50ms, {attempt_outcome::unused}, false, false},
    };
    this->list(4U);
    for (const auto& item : cases) {
        this->time.advance(5s);
        this->run(0U, 10ms, {attempt_outcome::answered});
        this->run(0U, item.age, item.report);
        CHECK_EQUAL_TEXT(item.suspect, this->view()[0U].suspect, item.name);
        CHECK_EQUAL_TEXT(item.slower, this->view()[0U].slowdown > 1.1, item.name);
    }
}

// Guards against the use of outdated or wrong load reports.
TEST(target_table, corrects_load_reports_by_observed_response_times) {
    struct expectation {
        const char* name;
        mangopulley::duration response_time;
        load_report load;
        mangopulley::duration decay_time;
        std::uint32_t remote_in_flight;
    };
    const expectation cases[] = {
        {"own request only", 20ms, {1U, 0U}, 0ms, 0U},
        {"remote requests running", 20ms, {2U, 0U}, 0ms, 1U},
        {"remote requests running and queued", 20ms, {2U, 3U}, 0ms, 4U},
        {"halves in 50 ms", 20ms, {2U, 3U}, 50ms, 2U},
        {"reported full, but the request did not wait", 10ms, {2U, 50U}, 0ms, 1U},
        {"reported no load, but slow", 100ms, {0U, 0U}, 0ms, 3U},
    };
    this->list(4U);
    for (const auto& item : cases) {
        // A previous estimate of 12, which decays to 3 in 100 ms, shows whether a report is ignored.
        this->table.report("t0", {12U, 0U}, this->time.now());
        this->run(0U, item.response_time, {attempt_outcome::answered, item.load});
        this->time.advance(item.decay_time);
        CHECK_EQUAL_TEXT(item.remote_in_flight, this->view()[0U].remote_in_flight, item.name);
        this->time.advance(5s);
    }
    CHECK_EQUAL(2U, this->table.describe(this->time.now())[0U].contradicted_reports);
}

// Guards against new requests to a leaving target, and against false claims to drain that leave no usable target.
TEST(target_table, omits_leaving_targets_and_ignores_drain_claims_of_a_majority) {
    struct expectation {
        const char* name;
        std::size_t claims;
        std::size_t leaving;
        std::size_t usable;
    };
    const expectation cases[] = {
        {"none", 0U, 0U, 6U},         {"one claim", 1U, 0U, 5U},
        {"half claim", 3U, 0U, 3U},   {"most claim", 4U, 0U, 6U},
        {"all claim", 6U, 0U, 6U},    {"platform lists all as leaving", 0U, 6U, 0U},
        {"some of both", 2U, 2U, 4U}, {"most of the rest claim", 5U, 2U, 4U},
    };
    for (const auto& item : cases) {
        target_table fresh{{2U, 220U}};
        std::vector<target_record> six_targets{};
        for (std::size_t index = 0U; index < 6U; ++index) {
            const auto name = std::to_string(index);
            six_targets.push_back({name, name, "a", index < item.leaving});
        }
        fresh.update(six_targets);
        for (std::size_t index = 0U; index < item.claims; ++index) {
            CHECK_TRUE(fresh.mark_draining(std::to_string(index), this->time.now()));
        }
        fresh.view({}, this->time.now(), this->views);
        CHECK_EQUAL_TEXT(item.usable, this->views.size(), item.name);
        CHECK_EQUAL_TEXT(item.usable > 0U, fresh.has_usable(), item.name);
    }
}

// Guards against lost slots and use after free when a target is unlisted while a request is in flight.
TEST(target_table, keeps_a_removed_target_until_its_requests_end) {
    this->list(2U);
    auto* in_flight = this->begin(0U);
    this->table.update(std::vector{this->records[1U]});
    CHECK_EQUAL(1U, this->view().size());
    CHECK_EQUAL(2U, this->table.describe(this->time.now()).size());
    STRCMP_EQUAL("t0", this->table.id(*in_flight).c_str());
    static_cast<void>(this->table.end(in_flight, {attempt_outcome::answered}, this->time.now()));
    CHECK_EQUAL(1U, this->table.describe(this->time.now()).size());
}

// Guards against a burst of requests to a target with cold caches.
TEST(target_table, limits_a_new_target_to_one_request_until_it_has_answered_a_few) {
    this->list(1U, 0);
    for (int answers = 0; answers < 3; ++answers) {
        CHECK_EQUAL(1U, this->view()[0U].slots);
        this->run(0U, 10ms, {attempt_outcome::answered});
    }
    CHECK_EQUAL(2U, this->view()[0U].slots);
}

// Guards against a suspicion that outlasts the slowdown when there is no traffic for trials.
TEST(target_table, suspicion_expires_after_2_s_but_an_unreachable_target_needs_a_trial) {
    this->list(4U);
    this->run(0U, 50ms, {attempt_outcome::answered});
    this->run(1U, 1ms, {attempt_outcome::not_sent});
    CHECK_EQUAL(2U, this->avoided());
    CHECK_FALSE(this->view()[1U].trial_open);
    this->time.advance(2001ms);
    CHECK_FALSE(this->view()[0U].suspect);
    CHECK_TRUE(this->view()[1U].avoided);
    CHECK_TRUE(this->view()[1U].trial_due);
}

// Guards against late hedges on a target that another request has shown to be slow.
TEST(target_table, hedges_sooner_when_the_target_turns_suspect) {
    this->list(4U);
    for (int slower = 0; slower < 8; ++slower) {
        this->run(1U, 25ms, {attempt_outcome::answered});
        this->run(1U, 10ms, {attempt_outcome::answered});
    }
    auto* first = this->begin(0U);
    const auto start = this->time.now();
    CHECK_TRUE(this->table.hedge_time(*first, false, start) == start + 25ms);
    this->time.advance(25ms);
    auto* second = this->begin(0U);
    CHECK_TRUE(this->table.hedge_time(*second, false, this->time.now()) == start + 25ms + 15ms);
    static_cast<void>(this->table.end(first, {attempt_outcome::answered}, this->time.now()));
    CHECK_TRUE(this->table.hedge_time(*second, false, this->time.now()) == start + 25ms + 25ms);
    first = this->begin(1U);
    static_cast<void>(this->table.end(first, {attempt_outcome::cancelled}, this->time.now()));
    static_cast<void>(this->table.end(second, {attempt_outcome::cancelled}, this->time.now()));
}

// Guards against suspecting a target while a cancelled request waits for the cancellation to be sent.
TEST(target_table, an_abandoned_attempt_keeps_its_slot_but_does_not_age) {
    this->list(2U);
    auto* in_flight = this->begin(0U);
    this->time.advance(15ms);
    this->table.record_outcome(*in_flight, {attempt_outcome::cancelled}, this->time.now());
    this->time.advance(1s);
    CHECK_FALSE(this->view()[0U].suspect);
    CHECK_EQUAL(1U, this->view()[0U].own_in_flight);
    static_cast<void>(this->table.end(in_flight, {attempt_outcome::cancelled}, this->time.now()));
    CHECK_FALSE(this->view()[0U].suspect);
    CHECK_EQUAL(0U, this->view()[0U].own_in_flight);
}
