#include <string>

#include <mangopulley/catalogue/difference.hpp>
#include <mangopulley/catalogue/parse.hpp>

#include <CppUTest/TestHarness.h>

using mangopulley::catalogue_document;
using mangopulley::parse_catalogue;

namespace {

catalogue_document parse_valid(const std::string_view text) {
    auto read = parse_catalogue("test", text);
    CHECK_TRUE(read.has_value());
    return std::move(*read);
}

} // namespace

TEST_GROUP(difference){};

// Guards against a change that is missing from the list shown to an operator.
TEST(difference, lists_every_change) {
    const auto from = parse_valid(R"(services:
  - {name: a, owner: o, kinds: [{name: k}, {name: gone}]}
  - {name: b, owner: o}
)");
    const auto to = parse_valid(R"(services:
  - {name: c, owner: o}
  - name: a
    owner: p
    class: batch
    limits: {requests_per_second: 0.5, concurrent: 2, waiting: 3}
    measuring: {probes_per_target_per_second: 1, probes_per_second: 4}
    targets: {slots: 3, connections: 30}
    policy: random
    serve_unconfirmed_ms: 0
    refuse_orders_without_store: true
    kinds: [{name: new}, {name: k, idempotent: true, worth: 2.5, timeout_ms: 7}]
)");
    std::string text{};
    for (const auto& change : difference(from, to)) {
        text += to_text(change) + '\n';
    }
    STRCMP_EQUAL(R"(service c added
service a: owner changed from o to p
service a: class changed from normal to batch
service a: limits.requests_per_second changed from nothing to 0.5
service a: limits.concurrent changed from nothing to 2
service a: limits.waiting changed from nothing to 3
service a: measuring.probes_per_target_per_second changed from 0 to 1
service a: measuring.probes_per_second changed from 0 to 4
service a: targets.slots changed from 2 to 3
service a: targets.connections changed from 220 to 30
service a: policy changed from slot_aware to random
service a: serve_unconfirmed_ms changed from nothing to 0
service a: refuse_orders_without_store changed from false to true
service a: kinds.new changed from nothing to {idempotent: false, worth: 1, timeout_ms: 1000}
service a: kinds.k.idempotent changed from false to true
service a: kinds.k.worth changed from 1 to 2.5
service a: kinds.k.timeout_ms changed from 1000 to 7
service a: kinds.gone changed from {idempotent: false, worth: 1, timeout_ms: 1000} to nothing
service b removed
)",
                 text.c_str());
}

// Guards against reporting changes when only the order of services or kinds differs.
TEST(difference, ignores_order) {
    const auto from =
        parse_valid("services: [{name: a, owner: o}, {name: b, owner: o, kinds: [{name: k}, {name: l}]}]");
    const auto to = parse_valid("services: [{name: b, owner: o, kinds: [{name: l}, {name: k}]}, {name: a, owner: o}]");
    CHECK_TRUE(difference(from, to).empty());
}
