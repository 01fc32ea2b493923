#include <atomic>
#include <thread>

#include <mangopulley/order/order_service.hpp>

#include "fleet.hpp"

#include <CppUTest/TestHarness.h>

using fake::order_fleet;
using mangopulley::message_type;
using mangopulley::order_outcome;
using mangopulley::order_reason;
using mangopulley::order_state;

namespace {

constexpr std::size_t home = 0U;
constexpr std::size_t first_witness = 1U;
constexpr std::size_t second_witness = 2U;
constexpr std::size_t receiver = 3U;

/*! @brief Point in the processing of an order at which a fault is injected, once. */
enum class injection_point { at_start, before_note, after_note, before_run, after_run, response_in_transit };

struct fault_case {
    const char* name;
    injection_point when;
    void (*inject)(order_fleet& fleet, const std::string& key);
    /*! @brief Expected state reported to the caller, number of runs, and state reported by a later query. */
    order_state reported;
    int runs;
    order_state later_query;
};

/*! @brief Queries the key through a witness while the home is frozen; the home continues afterwards. */
order_state query_while_frozen(order_fleet& fleet, const std::string& key) {
    fleet.cut(second_witness, home);
    const auto state = fleet.query(second_witness, key).state;
    fleet.heal(second_witness, home);
    return state;
}

using enum order_state;

const fault_case fault_cases[]{
    {"no fault", injection_point::at_start, [](order_fleet&, const std::string&) {}, answered, 1, answered},
    {"home killed before the request", injection_point::at_start,
     [](order_fleet& fleet, const std::string&) { fleet.kill(0); }, not_run, 0, not_run},
    {"home killed before its note", injection_point::before_note,
     [](order_fleet& fleet, const std::string&) { fleet.kill(home); }, not_run, 0, not_run},
    {"home killed after its note", injection_point::after_note,
     [](order_fleet& fleet, const std::string&) { fleet.kill(home); }, unknown, 0, unknown},
    {"home killed before it sends", injection_point::before_run,
     [](order_fleet& fleet, const std::string&) { fleet.kill(home); }, unknown, 0, unknown},
    {"home killed after the target ran", injection_point::after_run,
     [](order_fleet& fleet, const std::string&) { fleet.kill(home); }, unknown, 1, unknown},
    {"home killed with the response in transit", injection_point::response_in_transit,
     [](order_fleet& fleet, const std::string&) { fleet.kill(home); }, unknown, 1, unknown},
    {"response lost in transit", injection_point::at_start,
     [](order_fleet& fleet, const std::string&) { fleet.lose_replies(receiver, home); }, unknown, 1, answered},
    {"home replaced by a new incarnation", injection_point::at_start,
     [](order_fleet& fleet, const std::string&) { fleet.restart(home); }, not_run, 0, not_run},
    {"link to the home cut", injection_point::at_start,
     [](order_fleet& fleet, const std::string&) { fleet.cut(receiver, home); }, not_run, 0, not_run},
    {"home frozen before its note, sealed, resumed", injection_point::before_note,
     [](order_fleet& fleet, const std::string& key) {
         CHECK_TRUE(query_while_frozen(fleet, key) == order_state::not_run);
     },
     not_run, 0, not_run},
    {"home frozen after its note, queried, resumed", injection_point::after_note,
     [](order_fleet& fleet, const std::string& key) {
         CHECK_TRUE(query_while_frozen(fleet, key) == order_state::unknown);
     },
     answered, 1, answered},
    {"home frozen before it sends until the deadline passed", injection_point::after_note,
     [](order_fleet& fleet, const std::string&) { fleet.time.advance(std::chrono::seconds{5}); }, not_run, 0, not_run},
    {"home frozen after the target ran, queried, resumed", injection_point::after_run,
     [](order_fleet& fleet, const std::string& key) {
         CHECK_TRUE(query_while_frozen(fleet, key) == order_state::unknown);
     },
     answered, 1, answered},
    {"first witness dead", injection_point::at_start,
     [](order_fleet& fleet, const std::string&) { fleet.kill(first_witness); }, answered, 1, answered},
    {"both witnesses dead", injection_point::at_start,
     [](order_fleet& fleet, const std::string&) {
         fleet.kill(first_witness);
         fleet.kill(second_witness);
     },
     not_run, 0, not_run},
    {"first witness cut off from the home", injection_point::at_start,
     [](order_fleet& fleet, const std::string&) { fleet.cut(home, first_witness); }, answered, 1, answered},
    {"replies of both witnesses lost", injection_point::at_start,
     [](order_fleet& fleet, const std::string&) {
         fleet.lose_replies(home, first_witness);
         fleet.lose_replies(home, second_witness);
     },
     not_run, 0, not_run},
    {"home and first witness killed before the note", injection_point::before_note,
     [](order_fleet& fleet, const std::string&) {
         fleet.kill(first_witness);
         fleet.kill(home);
     },
     unknown, 0, unknown},
    {"witness with the note replaced, home killed after the target ran", injection_point::after_run,
     [](order_fleet& fleet, const std::string&) {
         fleet.restart(first_witness);
         fleet.kill(home);
     },
     unknown, 1, unknown},
    {"witness with the note cut off from the receiver, home killed after the target ran", injection_point::after_run,
     [](order_fleet& fleet, const std::string&) {
         fleet.cut(receiver, first_witness);
         fleet.kill(home);
     },
     unknown, 1, unknown},
    {"one witness sealed while the other's note is lost", injection_point::before_note,
     [](order_fleet& fleet, const std::string& key) {
         fleet.lose_replies(home, first_witness);
         fleet.cut(second_witness, first_witness);
         CHECK_TRUE(query_while_frozen(fleet, key) == order_state::unknown);
         fleet.heal(second_witness, first_witness);
     },
     not_run, 0, not_run},
    {"target does not accept the order", injection_point::at_start,
     [](order_fleet& fleet, const std::string&) {
         fleet.instances[home]->runner.fault = mangopulley::target_error::code::not_sent;
     },
     not_run, 0, not_run},
    {"connection to the target breaks after it ran", injection_point::at_start,
     [](order_fleet& fleet, const std::string&) {
         fleet.instances[home]->runner.fault = mangopulley::target_error::code::broken;
     },
     unknown, 1, unknown},
};

/*! @brief Installs hooks that inject the fault once, at its injection point. */
void install_fault(order_fleet& fleet, const fault_case& fault, const std::string& key) {
    auto pending = std::make_shared<bool>(true);
    const auto once = [&fleet, &fault, key, pending] {
        if (std::exchange(*pending, false)) {
            fault.inject(fleet, key);
        }
    };
    const auto on = [once](const message_type wanted) {
        return [once, wanted](const message_type type) {
            if (type == wanted) {
                once();
            }
        };
    };
    switch (fault.when) {
    case injection_point::at_start:
        once();
        break;
    case injection_point::before_note:
        fleet.transports[home]->before = on(message_type::order_note);
        break;
    case injection_point::after_note:
        fleet.transports[home]->after = on(message_type::order_note);
        break;
    case injection_point::before_run:
        fleet.instances[home]->runner.before = once;
        break;
    case injection_point::after_run:
        fleet.instances[home]->runner.after = once;
        break;
    case injection_point::response_in_transit:
        // The receiver detects the broken connection before it has the response.
        fleet.transports[receiver]->after = [&fleet, once](const message_type type) {
            if (type == message_type::order_forward) {
                once();
                fleet.lose_replies(receiver, home);
            }
        };
        fleet.lose_replies(receiver, home);
        break;
    }
}

} // namespace

TEST_GROUP(order_service) {
    order_fleet fleet{};
};

// Guards against a second run and against a false not-run, wherever in the processing a fault occurs.
TEST(order_service, reports_the_true_outcome_wherever_a_fault_occurs) {
    for (const auto& fault : fault_cases) {
        order_fleet each{};
        const auto key = each.new_key("k1");
        install_fault(each, fault, key);
        const auto reported = each.submit(receiver, key);
        CHECK_TEXT(reported.state == fault.reported, fault.name);
        CHECK_EQUAL_TEXT(fault.runs, each.target.count("body"), fault.name);
        CHECK_TEXT(reported.state != answered || reported.answer.body == "done body", fault.name);
        CHECK_EQUAL_TEXT(reported.state == not_run, reported.fresh_token.has_value(), fault.name);
        for (std::size_t from = 0U; from < order_fleet::size; ++from) {
            for (std::size_t to = 0U; to < order_fleet::size; ++to) {
                if (!each.killed.contains(each.instances[from])) {
                    each.heal(from, to);
                }
            }
        }
        const auto querier = each.killed.contains(each.instances[second_witness]) ? receiver : second_witness;
        CHECK_TEXT(each.query(querier, key).state == fault.later_query, fault.name);
        // A retry through any live instance gets the same state and runs nothing.
        for (std::size_t index = 0U; index < order_fleet::size; ++index) {
            if (!each.killed.contains(each.instances[index])) {
                CHECK_TEXT(each.submit(index, key).state == fault.later_query, fault.name);
            }
        }
        CHECK_EQUAL_TEXT(fault.runs, each.target.count("body"), fault.name);
    }
}

// Guards against two runs when a caller sends the same order through several instances at once.
TEST(order_service, concurrent_submissions_share_one_run) {
    const auto key = this->fleet.new_key("k1");
    std::atomic<int> same{};
    this->fleet.instances[home]->runner.before = [] { std::this_thread::sleep_for(std::chrono::milliseconds{30}); };
    {
        std::vector<std::jthread> callers{};
        for (std::size_t index = 0U; index < 8U; ++index) {
            callers.emplace_back([&, index] {
                const auto reported = this->fleet.submit(index % order_fleet::size, key);
                same += reported.state == answered && reported.answer.body == "done body" ? 1 : 0;
            });
        }
    }
    CHECK_EQUAL(8, same.load());
    CHECK_EQUAL(1, this->fleet.target.count("body"));
}

// Guards against a retry with other content that receives the answer of the first request.
TEST(order_service, rejects_other_content_under_the_same_key) {
    const auto key = this->fleet.new_key("k1");
    CHECK_TRUE(this->fleet.submit(receiver, key, "first").state == answered);
    CHECK_TRUE(this->fleet.submit(first_witness, key, "second").state == content_mismatch);
    CHECK_EQUAL(0, this->fleet.target.count("second"));
}

// Guards against an order that runs after a query reported that it had not started.
TEST(order_service, query_abandons_an_order_that_has_not_started) {
    const auto key = this->fleet.new_key("k1");
    CHECK_TRUE(this->fleet.query(receiver, key).state == not_run);
    CHECK_TRUE(this->fleet.submit(receiver, key).state == not_run);
    CHECK_EQUAL(0, this->fleet.target.count("body"));
}

// Guards against an order without witnesses that runs, or is reported as not-run, while its home is unreachable.
TEST(order_service, key_without_witnesses_is_unknown_when_its_home_is_unreachable) {
    mangopulley::order_token token{};
    token.home = this->fleet.instances[home]->id;
    token.issued = 1'800'000'000U;
    this->fleet.cut(receiver, home);
    CHECK_TRUE(this->fleet.submit(receiver, token.to_string() + "~k1").state == unknown);
    this->fleet.heal(receiver, home);
    CHECK_TRUE(this->fleet.submit(receiver, token.to_string() + "~k1").state == answered);
}

// Guards against an exception of the runner that leaves retries waiting, or is reported as not-run.
TEST(order_service, exception_of_the_runner_is_a_settled_unknown) {
    const auto key = this->fleet.new_key("k1");
    this->fleet.instances[home]->runner.after = [] { throw std::runtime_error{"injected"}; };
    CHECK_TRUE(this->fleet.submit(receiver, key).state == unknown);
    const auto retried = this->fleet.submit(receiver, key);
    CHECK_TRUE(retried.state == unknown && retried.settled);
    CHECK_EQUAL(1, this->fleet.target.count("body"));
}

// Guards against refusing a key during an outage that was answered before, and against a later_query run of a refused
// key.
TEST(order_service, refuses_new_orders_without_the_store_when_asked_to) {
    const auto answered_key = this->fleet.new_key("k1");
    const auto refused_key = this->fleet.new_key("k2");
    const auto submit = [&](const std::string& key) {
        auto request = this->fleet.request(key);
        request.refuse_without_store = true;
        return this->fleet.at(receiver).submit(request).value();
    };
    CHECK_TRUE(submit(answered_key).state == answered);
    this->fleet.instances[home]->status.down = true;
    CHECK_TRUE(submit(answered_key).state == answered);
    const auto refused = submit(refused_key);
    CHECK_TRUE(refused.state == not_run && refused.reason == order_reason::refused_without_store);
    this->fleet.instances[home]->status.down = false;
    CHECK_TRUE(submit(refused_key).state == not_run);
    CHECK_EQUAL(1, this->fleet.target.count("body"));
}

// Guards against two bindings of one key without a token, by two instances or after a lost store reply.
TEST(order_service, key_without_token_is_bound_once) {
    CHECK_TRUE(this->fleet.submit(0U, "invoice-7").state == answered);
    CHECK_TRUE(this->fleet.submit(3U, "invoice-7").state == answered);
    CHECK_TRUE(this->fleet.query(2U, "invoice-7").state == answered);
    CHECK_EQUAL(1, this->fleet.target.count("body"));
    this->fleet.store.fault = fake::fake_store::write_fault::reply_lost_after_effect;
    CHECK_TRUE(this->fleet.submit(1U, "invoice-8", "lost").state == answered);
    this->fleet.store.fault = fake::fake_store::write_fault::none;
    CHECK_TRUE(this->fleet.submit(2U, "invoice-8", "lost").state == answered);
    CHECK_EQUAL(1, this->fleet.target.count("lost"));
    CHECK_EQUAL(2U, this->fleet.store.objects.size());
}

// Guards against reporting not-run for a key without a token that ran before the store outage.
TEST(order_service, key_without_token_is_not_run_in_an_outage_only_on_a_first_attempt) {
    CHECK_TRUE(this->fleet.submit(0U, "invoice-7").state == answered);
    this->fleet.store.down = true;
    const auto retry = this->fleet.submit(receiver, "invoice-7");
    CHECK_TRUE(retry.state == unknown && retry.reason == order_reason::store_out && retry.fresh_token);
    auto request = this->fleet.request("invoice-8");
    request.first_attempt = true;
    const auto first = this->fleet.at(receiver).submit(request).value();
    CHECK_TRUE(first.state == not_run && !first.settled && first.fresh_token);
    CHECK_TRUE(this->fleet.submit(receiver, *first.fresh_token + "~k1", "other").state == answered);
    this->fleet.store.down = false;
    CHECK_TRUE(this->fleet.query(receiver, "invoice-7").state == answered);
}

// Guards against a binding that takes effect late and runs an order that was reported as not-run.
TEST(order_service, late_binding_does_not_run) {
    this->fleet.store.fault = fake::fake_store::write_fault::reply_lost_before_effect;
    auto request = this->fleet.request("invoice-9");
    request.first_attempt = true;
    const auto first = this->fleet.at(home).submit(request).value();
    CHECK_TRUE(first.state == not_run);
    this->fleet.store.fault = fake::fake_store::write_fault::none;
    const auto name = "bindings/" + mangopulley::unbound_key_digest("invoice-9");
    CHECK_TRUE(
        this->fleet.store.put(name, this->fleet.at(home).make_token(this->fleet.instances[home]->id), 0U).has_value());
    CHECK_TRUE(this->fleet.submit(receiver, "invoice-9").state == not_run);
    CHECK_EQUAL(0, this->fleet.target.count("body"));
}

// Guards against a binding that is written after a query reported not-run.
TEST(order_service, query_abandons_an_unbound_key) {
    CHECK_TRUE(this->fleet.query(receiver, "invoice-7").state == not_run);
    CHECK_TRUE(this->fleet.submit(home, "invoice-7").state == not_run);
    CHECK_EQUAL(0, this->fleet.target.count("body"));
}

// Guards against outcomes that are lost with their home: the archive keeps them, or the witnesses during a store
// outage.
TEST(order_service, outcomes_outlive_a_home_that_shuts_down) {
    for (const bool store_down : {false, true}) {
        order_fleet each{};
        const auto key = each.new_key("k1");
        CHECK_TRUE(each.submit(receiver, key).state == answered);
        each.store.down = store_down;
        const auto report = each.at(home).shut_down();
        CHECK_EQUAL(!store_down, report.archived);
        CHECK_EQUAL(store_down ? 1U : 0U, report.handed_over);
        CHECK_EQUAL(0U, report.lost);
        CHECK_TRUE(each.submit(home, each.new_key("k2"), "late").state == not_run);
        each.kill(home);
        const auto reported = each.query(receiver, key);
        CHECK_TRUE(reported.state == answered && reported.answer.body == "done body");
        // The outcome that a witness stores belongs to the content of the first request.
        CHECK_TRUE(!store_down || each.submit(receiver, key, "second").state == content_mismatch);
        // The witness archives the outcome on behalf of the home once the store is back.
        each.store.down = false;
        each.instances[first_witness]->archive.write_if_due();
        each.kill(first_witness);
        CHECK_TRUE(each.query(receiver, key).state == answered);
        CHECK_EQUAL(0, each.target.count("late"));
    }
}

// Guards against malformed peer messages that are accepted as requests, notes or seals.
TEST(order_service, rejects_malformed_messages) {
    for (const auto type : {message_type::order_note, message_type::order_seal, message_type::order_forward,
                            message_type::order_query, message_type::order_outcomes}) {
        CHECK_FALSE(this->fleet.instances[home]->handle(type, "").has_value());
        CHECK_FALSE(this->fleet.instances[home]->handle(type, "\xc1").has_value());
    }
    CHECK_TRUE(this->fleet.at(home).submit(this->fleet.request("a~b")).has_error());
}
