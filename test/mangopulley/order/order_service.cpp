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
constexpr std::size_t entrance = 3U;

/*! @brief Instant of an order's way at which a fault strikes, once. */
enum class instant { at_start, before_note, after_note, before_run, after_run, answer_on_the_way };

struct fault_case {
    const char* name;
    instant when;
    void (*strike)(order_fleet& fleet, const std::string& key);
    /*! @brief What the caller is told, how often the order ran, and what a query through a witness tells later. */
    order_state told;
    int runs;
    order_state later;
};

/*! @brief Lets another instance ask about the key while the home is frozen: the home's own step goes on afterwards. */
order_state ask_while_frozen(order_fleet& fleet, const std::string& key) {
    fleet.cut(second_witness, home);
    const auto state = fleet.query(second_witness, key).state;
    fleet.heal(second_witness, home);
    return state;
}

using enum order_state;

const fault_case fault_cases[]{
    {"no fault", instant::at_start, [](order_fleet&, const std::string&) {}, answered, 1, answered},
    {"home killed before the request", instant::at_start, [](order_fleet& fleet, const std::string&) { fleet.kill(0); },
     not_run, 0, not_run},
    {"home killed before its note", instant::before_note,
     [](order_fleet& fleet, const std::string&) { fleet.kill(home); }, not_run, 0, not_run},
    {"home killed after its note", instant::after_note,
     [](order_fleet& fleet, const std::string&) { fleet.kill(home); }, unknown, 0, unknown},
    {"home killed before it sends", instant::before_run,
     [](order_fleet& fleet, const std::string&) { fleet.kill(home); }, unknown, 0, unknown},
    {"home killed after the target ran", instant::after_run,
     [](order_fleet& fleet, const std::string&) { fleet.kill(home); }, unknown, 1, unknown},
    {"home killed with the answer on the way", instant::answer_on_the_way,
     [](order_fleet& fleet, const std::string&) { fleet.kill(home); }, unknown, 1, unknown},
    {"answer lost on the way", instant::at_start,
     [](order_fleet& fleet, const std::string&) { fleet.lose(entrance, home); }, unknown, 1, answered},
    {"home replaced by a new incarnation", instant::at_start,
     [](order_fleet& fleet, const std::string&) { fleet.restart(home); }, not_run, 0, not_run},
    {"link to the home cut", instant::at_start,
     [](order_fleet& fleet, const std::string&) { fleet.cut(entrance, home); }, not_run, 0, not_run},
    {"home frozen before its note, sealed, woken", instant::before_note,
     [](order_fleet& fleet, const std::string& key) {
         CHECK_TRUE(ask_while_frozen(fleet, key) == order_state::not_run);
     },
     not_run, 0, not_run},
    {"home frozen after its note, asked about, woken", instant::after_note,
     [](order_fleet& fleet, const std::string& key) {
         CHECK_TRUE(ask_while_frozen(fleet, key) == order_state::unknown);
     },
     answered, 1, answered},
    {"home frozen before it sends until the deadline passed", instant::after_note,
     [](order_fleet& fleet, const std::string&) { fleet.time.advance(std::chrono::seconds{5}); }, not_run, 0, not_run},
    {"home frozen after the target ran, asked about, woken", instant::after_run,
     [](order_fleet& fleet, const std::string& key) {
         CHECK_TRUE(ask_while_frozen(fleet, key) == order_state::unknown);
     },
     answered, 1, answered},
    {"first witness dead", instant::at_start, [](order_fleet& fleet, const std::string&) { fleet.kill(first_witness); },
     answered, 1, answered},
    {"both witnesses dead", instant::at_start,
     [](order_fleet& fleet, const std::string&) {
         fleet.kill(first_witness);
         fleet.kill(second_witness);
     },
     not_run, 0, not_run},
    {"first witness cut off from the home", instant::at_start,
     [](order_fleet& fleet, const std::string&) { fleet.cut(home, first_witness); }, answered, 1, answered},
    {"replies of both witnesses lost", instant::at_start,
     [](order_fleet& fleet, const std::string&) {
         fleet.lose(home, first_witness);
         fleet.lose(home, second_witness);
     },
     not_run, 0, not_run},
    {"home and first witness killed before the note", instant::before_note,
     [](order_fleet& fleet, const std::string&) {
         fleet.kill(first_witness);
         fleet.kill(home);
     },
     unknown, 0, unknown},
    {"witness with the note replaced, home killed after the target ran", instant::after_run,
     [](order_fleet& fleet, const std::string&) {
         fleet.restart(first_witness);
         fleet.kill(home);
     },
     unknown, 1, unknown},
    {"witness with the note cut off from the entrance, home killed after the target ran", instant::after_run,
     [](order_fleet& fleet, const std::string&) {
         fleet.cut(entrance, first_witness);
         fleet.kill(home);
     },
     unknown, 1, unknown},
    {"one witness sealed while the other's note is lost", instant::before_note,
     [](order_fleet& fleet, const std::string& key) {
         fleet.lose(home, first_witness);
         fleet.cut(second_witness, first_witness);
         CHECK_TRUE(ask_while_frozen(fleet, key) == order_state::unknown);
         fleet.heal(second_witness, first_witness);
     },
     not_run, 0, not_run},
    {"target does not take the order", instant::at_start,
     [](order_fleet& fleet, const std::string&) {
         fleet.members[home]->runner.fault = mangopulley::target_error::code::not_sent;
     },
     not_run, 0, not_run},
    {"target breaks off after it ran", instant::at_start,
     [](order_fleet& fleet, const std::string&) {
         fleet.members[home]->runner.fault = mangopulley::target_error::code::broken;
     },
     unknown, 1, unknown},
};

/*! @brief Makes the fault strike once at its instant. */
void arm(order_fleet& fleet, const fault_case& fault, const std::string& key) {
    auto pending = std::make_shared<bool>(true);
    const auto once = [&fleet, &fault, key, pending] {
        if (std::exchange(*pending, false)) {
            fault.strike(fleet, key);
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
    case instant::at_start:
        once();
        break;
    case instant::before_note:
        fleet.transports[home]->before = on(message_type::order_note);
        break;
    case instant::after_note:
        fleet.transports[home]->after = on(message_type::order_note);
        break;
    case instant::before_run:
        fleet.members[home]->runner.before = once;
        break;
    case instant::after_run:
        fleet.members[home]->runner.after = once;
        break;
    case instant::answer_on_the_way:
        // The entrance notices the break before it has the answer.
        fleet.transports[entrance]->after = [&fleet, once](const message_type type) {
            if (type == message_type::order_forward) {
                once();
                fleet.lose(entrance, home);
            }
        };
        fleet.lose(entrance, home);
        break;
    }
}

} // namespace

TEST_GROUP(order_service) {
    order_fleet fleet{};
};

// Guards against a second run and against a false not-run, whatever the instant at which a fault strikes.
TEST(order_service, tells_the_truth_at_every_instant_of_a_fault) {
    for (const auto& fault : fault_cases) {
        order_fleet each{};
        const auto key = each.new_key("k1");
        arm(each, fault, key);
        const auto told = each.submit(entrance, key);
        CHECK_TEXT(told.state == fault.told, fault.name);
        CHECK_EQUAL_TEXT(fault.runs, each.target.count("body"), fault.name);
        CHECK_TEXT(told.state != answered || told.answer.body == "done body", fault.name);
        CHECK_EQUAL_TEXT(told.state == not_run, told.fresh_token.has_value(), fault.name);
        for (std::size_t from = 0U; from < order_fleet::size; ++from) {
            for (std::size_t to = 0U; to < order_fleet::size; ++to) {
                if (!each.killed.contains(each.members[from])) {
                    each.heal(from, to);
                }
            }
        }
        const auto asker = each.killed.contains(each.members[second_witness]) ? entrance : second_witness;
        CHECK_TEXT(each.query(asker, key).state == fault.later, fault.name);
        // A repeat through any live instance changes nothing either.
        for (std::size_t place = 0U; place < order_fleet::size; ++place) {
            if (!each.killed.contains(each.members[place])) {
                CHECK_TEXT(each.submit(place, key).state == fault.later, fault.name);
            }
        }
        CHECK_EQUAL_TEXT(fault.runs, each.target.count("body"), fault.name);
    }
}

// Guards against two runs when a caller repeats through several instances at the same moment.
TEST(order_service, repeats_at_the_same_moment_share_one_run) {
    const auto key = this->fleet.new_key("k1");
    std::atomic<int> same{};
    this->fleet.members[home]->runner.before = [] { std::this_thread::sleep_for(std::chrono::milliseconds{30}); };
    {
        std::vector<std::jthread> callers{};
        for (std::size_t index = 0U; index < 8U; ++index) {
            callers.emplace_back([&, index] {
                const auto told = this->fleet.submit(index % order_fleet::size, key);
                same += told.state == answered && told.answer.body == "done body" ? 1 : 0;
            });
        }
    }
    CHECK_EQUAL(8, same.load());
    CHECK_EQUAL(1, this->fleet.target.count("body"));
}

// Guards against a repeat with other content that receives the answer of the first.
TEST(order_service, rejects_other_content_under_the_same_key) {
    const auto key = this->fleet.new_key("k1");
    CHECK_TRUE(this->fleet.submit(entrance, key, "first").state == answered);
    CHECK_TRUE(this->fleet.submit(first_witness, key, "second").state == content_mismatch);
    CHECK_EQUAL(0, this->fleet.target.count("second"));
}

// Guards against an order that runs after a query was told that it had not begun.
TEST(order_service, query_gives_up_an_order_that_has_not_begun) {
    const auto key = this->fleet.new_key("k1");
    CHECK_TRUE(this->fleet.query(entrance, key).state == not_run);
    CHECK_TRUE(this->fleet.submit(entrance, key).state == not_run);
    CHECK_EQUAL(0, this->fleet.target.count("body"));
}

// Guards against an order that runs, or is called not-run, without a home that can be asked and without witnesses.
TEST(order_service, key_without_witnesses_is_unknown_when_its_home_is_silent) {
    mangopulley::order_token token{};
    token.home = this->fleet.members[home]->id;
    token.issued = 1'800'000'000U;
    this->fleet.cut(entrance, home);
    CHECK_TRUE(this->fleet.submit(entrance, token.to_string() + "~k1").state == unknown);
    this->fleet.heal(entrance, home);
    CHECK_TRUE(this->fleet.submit(entrance, token.to_string() + "~k1").state == answered);
}

// Guards against an exception of the runner that leaves repeats waiting, or is taken for not-run.
TEST(order_service, exception_of_the_runner_is_a_settled_unknown) {
    const auto key = this->fleet.new_key("k1");
    this->fleet.members[home]->runner.after = [] { throw std::runtime_error{"injected"}; };
    CHECK_TRUE(this->fleet.submit(entrance, key).state == unknown);
    const auto again = this->fleet.submit(entrance, key);
    CHECK_TRUE(again.state == unknown && again.settled);
    CHECK_EQUAL(1, this->fleet.target.count("body"));
}

// Guards against a refusal during an outage of a key that was answered before, and against a later run of a refused
// one.
TEST(order_service, refuses_new_orders_without_the_store_when_asked_to) {
    const auto answered_key = this->fleet.new_key("k1");
    const auto refused_key = this->fleet.new_key("k2");
    const auto submit = [&](const std::string& key) {
        auto request = this->fleet.request(key);
        request.refuse_without_store = true;
        return this->fleet.at(entrance).submit(request).value();
    };
    CHECK_TRUE(submit(answered_key).state == answered);
    this->fleet.members[home]->status.down = true;
    CHECK_TRUE(submit(answered_key).state == answered);
    const auto refused = submit(refused_key);
    CHECK_TRUE(refused.state == not_run && refused.reason == order_reason::refused_without_store);
    this->fleet.members[home]->status.down = false;
    CHECK_TRUE(submit(refused_key).state == not_run);
    CHECK_EQUAL(1, this->fleet.target.count("body"));
}

// Guards against two bindings of one key without a token, by two instances or after a lost reply of the store.
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

// Guards against not-run for a key without a token that an earlier submission, made before the outage, has run.
TEST(order_service, key_without_token_is_called_not_run_in_an_outage_only_on_a_first_attempt) {
    CHECK_TRUE(this->fleet.submit(0U, "invoice-7").state == answered);
    this->fleet.store.down = true;
    const auto repeat = this->fleet.submit(entrance, "invoice-7");
    CHECK_TRUE(repeat.state == unknown && repeat.reason == order_reason::store_out && repeat.fresh_token);
    auto request = this->fleet.request("invoice-8");
    request.first_attempt = true;
    const auto first = this->fleet.at(entrance).submit(request).value();
    CHECK_TRUE(first.state == not_run && !first.settled && first.fresh_token);
    CHECK_TRUE(this->fleet.submit(entrance, *first.fresh_token + "~k1", "other").state == answered);
    this->fleet.store.down = false;
    CHECK_TRUE(this->fleet.query(entrance, "invoice-7").state == answered);
}

// Guards against a binding that takes effect late and runs an order after the caller was told that it was not run.
TEST(order_service, late_binding_does_not_run) {
    this->fleet.store.fault = fake::fake_store::write_fault::reply_lost_before_effect;
    auto request = this->fleet.request("invoice-9");
    request.first_attempt = true;
    const auto first = this->fleet.at(home).submit(request).value();
    CHECK_TRUE(first.state == not_run);
    this->fleet.store.fault = fake::fake_store::write_fault::none;
    const auto name = "bindings/" + mangopulley::unbound_key_digest("invoice-9");
    CHECK_TRUE(
        this->fleet.store.put(name, this->fleet.at(home).make_token(this->fleet.members[home]->id), 0U).has_value());
    CHECK_TRUE(this->fleet.submit(entrance, "invoice-9").state == not_run);
    CHECK_EQUAL(0, this->fleet.target.count("body"));
}

// Guards against a binding made after a query was told that nothing ran.
TEST(order_service, query_gives_up_an_unbound_key) {
    CHECK_TRUE(this->fleet.query(entrance, "invoice-7").state == not_run);
    CHECK_TRUE(this->fleet.submit(home, "invoice-7").state == not_run);
    CHECK_EQUAL(0, this->fleet.target.count("body"));
}

// Guards against outcomes lost with their home: by the archive, or by the witnesses when the store is out.
TEST(order_service, outcomes_outlive_a_home_that_shuts_down) {
    for (const bool store_down : {false, true}) {
        order_fleet each{};
        const auto key = each.new_key("k1");
        CHECK_TRUE(each.submit(entrance, key).state == answered);
        each.store.down = store_down;
        const auto report = each.at(home).shut_down();
        CHECK_EQUAL(!store_down, report.archived);
        CHECK_EQUAL(store_down ? 1U : 0U, report.handed_over);
        CHECK_EQUAL(0U, report.lost);
        CHECK_TRUE(each.submit(home, each.new_key("k2"), "late").state == not_run);
        each.kill(home);
        const auto told = each.query(entrance, key);
        CHECK_TRUE(told.state == answered && told.answer.body == "done body");
        // The answer that a witness holds is that of the first content.
        CHECK_TRUE(!store_down || each.submit(entrance, key, "second").state == content_mismatch);
        // The witness archives on behalf of the home once the store is back.
        each.store.down = false;
        each.members[first_witness]->archive.step();
        each.kill(first_witness);
        CHECK_TRUE(each.query(entrance, key).state == answered);
        CHECK_EQUAL(0, each.target.count("late"));
    }
}

// Guards against malformed messages of a peer that are taken for requests, notes or seals.
TEST(order_service, rejects_malformed_messages) {
    for (const auto type : {message_type::order_note, message_type::order_seal, message_type::order_forward,
                            message_type::order_query, message_type::order_outcomes}) {
        CHECK_FALSE(this->fleet.members[home]->handle(type, "").has_value());
        CHECK_FALSE(this->fleet.members[home]->handle(type, "\xc1").has_value());
    }
    CHECK_TRUE(this->fleet.at(home).submit(this->fleet.request("a~b")).has_error());
}
