#include <string>

#include <mangopulley/catalogue/parse.hpp>

#include <CppUTest/TestHarness.h>

namespace {

constexpr std::string_view full_text = R"(services:
  - name: payments
    owner: Sialkot Cork & Brand Works
    class: interactive
    limits: {requests_per_second: 1200.5, concurrent: 12, waiting: 100}
    measuring: {probes_per_target_per_second: 2, probes_per_second: 10}
    targets: {slots: 4, connections: 300}
    policy: two_choices
    serve_unconfirmed_ms: 60000
    refuse_orders_without_store: true
    kinds:
      - {name: release, worth: 5, timeout_ms: 800}
      - {name: status, idempotent: true}
  - name: catalogue
    owner: proofs
)";

} // namespace

TEST_GROUP(parse_catalogue){};

// Guards against fields that are parsed into the wrong member and against wrong defaults.
TEST(parse_catalogue, reads_every_field_and_keeps_defaults) {
    const auto read = mangopulley::parse_catalogue("test", full_text);
    CHECK_TRUE(read.has_value());
    CHECK_EQUAL(0U, read->version);
    const auto* payments = read->find_service("payments");
    CHECK_TRUE(payments != nullptr);
    CHECK_TRUE(payments->owner == "Sialkot Cork & Brand Works");
    CHECK_TRUE(payments->work == mangopulley::work_class::interactive);
    DOUBLES_EQUAL(1200.5, payments->limits.requests_per_second, 0.0);
    CHECK_EQUAL(12U, payments->limits.concurrent);
    CHECK_EQUAL(100U, payments->limits.waiting);
    CHECK_EQUAL(2U, payments->measuring.probes_per_target_per_second);
    CHECK_EQUAL(10U, payments->measuring.probes_per_second);
    CHECK_EQUAL(4U, payments->slots_per_target);
    CHECK_EQUAL(300U, payments->connections_per_target);
    CHECK_TRUE(payments->policy == "two_choices");
    CHECK_TRUE(payments->serve_unconfirmed == mangopulley::milliseconds{60000});
    CHECK_TRUE(payments->refuse_orders_without_store);
    const auto* release = payments->find_kind("release");
    CHECK_TRUE(release != nullptr && !release->idempotent && release->timeout.count() == 800);
    DOUBLES_EQUAL(5.0, release->worth, 0.0);
    CHECK_TRUE(payments->find_kind("status")->idempotent);

    const auto* bare = read->find_service("catalogue");
    const mangopulley::service_entry defaults{};
    CHECK_TRUE(bare->work == defaults.work && bare->policy == defaults.policy);
    CHECK_EQUAL(defaults.slots_per_target, bare->slots_per_target);
    CHECK_EQUAL(defaults.connections_per_target, bare->connections_per_target);
    CHECK_FALSE(bare->serve_unconfirmed.has_value());
}

// Guards against a missing warning about a budget that allows no probe or a service that accepts no request.
TEST(parse_catalogue, warns_of_entries_without_effect) {
    const auto read = mangopulley::parse_catalogue("test", R"(services:
  - {name: a, owner: o, measuring: {probes_per_target_per_second: 1, probes_per_second: 1}, kinds: [{name: k}]}
  - {name: b, owner: o}
)");
    CHECK_TRUE(read.has_value());
    const auto warnings = mangopulley::find_warnings(*read);
    CHECK_EQUAL(2U, warnings.size());
    CHECK_TRUE(warnings[0].service == "a" && warnings[0].field == "measuring.probes_per_second");
    CHECK_TRUE(warnings[1].service == "b" && warnings[1].field == "kinds");
}
