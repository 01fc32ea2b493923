// Embeds the at-most-once ledger in a program of one's own: the first request under a key runs, a repeat gets the
// outcome of the first.

#include <iostream>
#include <memory>

#include <mangopulley/core/clock.hpp>
#include <mangopulley/core/incarnation_id.hpp>
#include <mangopulley/order/ledger.hpp>
#include <mangopulley/order/order_key.hpp>
#include <mangopulley/order/order_types.hpp>

namespace {

/*! @brief Runs the order unless the ledger knows its outcome. */
void submit(mangopulley::ledger& records, const mangopulley::order_key& key, const mangopulley::order_request& request,
            const mangopulley::clock& time) {
    const auto deadline = time.now() + std::chrono::seconds{1};
    const auto known =
        records.admit(key, mangopulley::content_fingerprint(request), deadline, mangopulley::order_reason::none);
    if (known) {
        std::cout << "known outcome: " << mangopulley::to_string(known->state) << ' ' << known->answer.body << '\n';
        return;
    }
    std::cout << "running the order\n";
    mangopulley::order_outcome outcome{};
    outcome.state = mangopulley::order_state::answered;
    outcome.answer.body = "crest branded";
    outcome.settled = true;
    records.finish(key, std::make_shared<const mangopulley::order_outcome>(outcome));
}

} // namespace

int main() {
    const mangopulley::system_clock_source time{};
    mangopulley::ledger records{time, mangopulley::ledger_limits{}};
    mangopulley::order_key key{};
    key.token.home = mangopulley::incarnation_id::generate();
    key.token.issued = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::seconds>(time.wall().time_since_epoch()).count());
    key.unique = "run-4711";
    mangopulley::order_request request{};
    request.service = "runs";
    request.kind = "confirm";
    request.body = "lot 17";
    submit(records, key, request, time);
    submit(records, key, request, time);
    return 0;
}
