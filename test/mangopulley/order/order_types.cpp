#include <functional>

#include <mangopulley/order/order_types.hpp>

#include <CppUTest/TestHarness.h>

using namespace mangopulley;

namespace {

[[nodiscard]] order_outcome sample_outcome() {
    auto outcome = make_outcome(order_state::answered, order_reason::none, true, "detail");
    outcome.answer = {201, std::string{"\0\xff body", 7U}, "text/plain", std::nullopt, false};
    outcome.fresh_token = "token";
    outcome.content = "content";
    return outcome;
}

} // namespace

TEST_GROUP(order_types){};

// Guards against a request that changes, or gains time, on its way to the home.
TEST(order_types, forward_carries_the_request_and_the_remaining_time) {
    const time_point sent{std::chrono::seconds{100}};
    const time_point received{std::chrono::seconds{7}};
    order_request request{"payments", "release", "key", "body", "text/plain", "r1", "trace", {}, 3U, true, false};
    request.deadline = sent + milliseconds{1500};
    const auto read = decode_forward(encode_forward(request, sent), received);
    CHECK_TRUE(read.has_value());
    CHECK_TRUE(read->deadline == received + milliseconds{1500});
    CHECK_TRUE(content_fingerprint(*read) == content_fingerprint(request));
    CHECK_TRUE(read->key == "key" && read->request_id == "r1" && read->traceparent == "trace");
    CHECK_TRUE(read->retry_budget == 3U && read->refuse_without_store);
    request.deadline = sent - milliseconds{5};
    CHECK_TRUE(decode_forward(encode_forward(request, sent), received)->deadline == received);
}

// Guards against answers whose state or body changes between instances.
TEST(order_types, outcomes_survive_every_codec) {
    const auto same = [](const order_outcome& read) {
        const auto wanted = sample_outcome();
        return read.state == wanted.state && read.reason == wanted.reason && read.settled && read.detail == "detail" &&
               read.content == "content" && read.fresh_token == wanted.fresh_token && read.answer.status == 201 &&
               read.answer.body == wanted.answer.body && read.answer.content_type == "text/plain";
    };
    const auto home = decode_home_answer(encode_home_answer({"key", sample_outcome()}));
    CHECK_TRUE(home && home->key == "key" && home->outcome && same(*home->outcome));
    const auto witness = decode_witness_answer(encode_witness_answer({witness_reply::noted, sample_outcome()}));
    CHECK_TRUE(witness && witness->reply == witness_reply::noted && witness->outcome && same(*witness->outcome));
    const auto group = decode_outcomes(encode_outcomes({{"a", std::make_shared<const order_outcome>(sample_outcome())},
                                                        {"b", std::make_shared<const order_outcome>()}}));
    CHECK_TRUE(group && group->size() == 2U && group->front().key == "a" && same(*group->front().outcome));
    CHECK_FALSE(decode_home_answer(encode_home_answer({"key", std::nullopt}))->outcome.has_value());
}

// Guards against messages cut short, or with trailing bytes, that are taken for whole ones.
TEST(order_types, decoders_reject_every_prefix_and_suffix) {
    const std::pair<std::string, std::function<bool(std::string_view)>> codecs[]{
        {encode_forward({}, {}), [](auto bytes) { return decode_forward(bytes, {}).has_value(); }},
        {encode_query("key"), [](auto bytes) { return decode_query(bytes).has_value(); }},
        {encode_witness_message({incarnation_id{7U}, "key"}),
         [](auto bytes) { return decode_witness_message(bytes).has_value(); }},
        {encode_witness_answer({witness_reply::sealed, sample_outcome()}),
         [](auto bytes) { return decode_witness_answer(bytes).has_value(); }},
        {encode_home_answer({"key", sample_outcome()}),
         [](auto bytes) { return decode_home_answer(bytes).has_value(); }},
        {encode_outcomes({{"a", std::make_shared<const order_outcome>(sample_outcome())}}),
         [](auto bytes) { return decode_outcomes(bytes).has_value(); }},
        {encode_accepted(true), [](auto bytes) { return decode_accepted(bytes).has_value(); }}};
    for (const auto& [bytes, accepts] : codecs) {
        CHECK_TRUE(accepts(bytes));
        CHECK_FALSE(accepts(bytes + '\x01'));
        for (std::size_t length = 0U; length < bytes.size(); ++length) {
            CHECK_FALSE(accepts(std::string_view{bytes}.substr(0U, length)));
        }
    }
}

// Guards against two requests with different content and the same fingerprint.
TEST(order_types, fingerprint_covers_each_part) {
    const order_request base{"ab", "c", "key", "body", "type", "r1", "", {}, 0U, false, false};
    auto shifted = base;
    shifted.service = "a";
    shifted.kind = "bc";
    CHECK_FALSE(content_fingerprint(base) == content_fingerprint(shifted));
    auto repeat = base;
    repeat.request_id = "r2";
    CHECK_TRUE(content_fingerprint(base) == content_fingerprint(repeat));
}
