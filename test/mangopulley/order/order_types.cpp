#include <functional>

#include <mangopulley/order/order_types.hpp>

#include <CppUTest/TestHarness.h>

using namespace mangopulley;

namespace {

[[nodiscard]] order_outcome sample_outcome() {
    auto outcome = make_outcome(order_state::answered, order_reason::none, true, "detail");
    outcome.answer = {201, std::string{"\0\xff body", 7U}, "text/plain", std::nullopt, false};
    outcome.fresh_token = "token";
    outcome.fingerprint = "content";
    return outcome;
}

} // namespace

TEST_GROUP(order_types){};

// Guards against a request that changes, or whose deadline grows, when it is forwarded to the home.
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

// Guards against outcomes whose state or answer changes between instances.
TEST(order_types, outcomes_survive_every_codec) {
    const auto same = [](const order_outcome& read) {
        const auto wanted = sample_outcome();
        return read.state == wanted.state && read.reason == wanted.reason && read.settled && read.detail == "detail" &&
               read.fingerprint == "content" && read.fresh_token == wanted.fresh_token && read.answer.status == 201 &&
               read.answer.body == wanted.answer.body && read.answer.content_type == "text/plain";
    };
    const auto home = decode_home_response(encode_home_response({"key", sample_outcome()}));
    CHECK_TRUE(home && home->key == "key" && home->outcome && same(*home->outcome));
    const auto witness = decode_witness_response(encode_witness_response({witness_status::noted, sample_outcome()}));
    CHECK_TRUE(witness && witness->status == witness_status::noted && witness->outcome && same(*witness->outcome));
    const auto group = decode_outcomes(encode_outcomes({{"a", std::make_shared<const order_outcome>(sample_outcome())},
                                                        {"b", std::make_shared<const order_outcome>()}}));
    CHECK_TRUE(group && group->size() == 2U && group->front().key == "a" && same(*group->front().outcome));
    CHECK_FALSE(decode_home_response(encode_home_response({"key", std::nullopt}))->outcome.has_value());
}

// Guards against truncated messages, or messages with trailing bytes, that are accepted as complete.
TEST(order_types, decoders_reject_every_prefix_and_suffix) {
    const std::pair<std::string, std::function<bool(std::string_view)>> codecs[]{
        {encode_forward({}, {}), [](auto bytes) { return decode_forward(bytes, {}).has_value(); }},
        {encode_query("key"), [](auto bytes) { return decode_query(bytes).has_value(); }},
        {encode_witness_request({incarnation_id{7U}, "key"}),
         [](auto bytes) { return decode_witness_request(bytes).has_value(); }},
        {encode_witness_response({witness_status::sealed, sample_outcome()}),
         [](auto bytes) { return decode_witness_response(bytes).has_value(); }},
        {encode_home_response({"key", sample_outcome()}),
         [](auto bytes) { return decode_home_response(bytes).has_value(); }},
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

// Guards against two requests with different content but the same fingerprint.
TEST(order_types, fingerprint_covers_each_part) {
    const order_request base{"ab", "c", "key", "body", "type", "r1", "", {}, 0U, false, false};
    auto shifted = base;
    shifted.service = "a";
    shifted.kind = "bc";
    CHECK_FALSE(content_fingerprint(base) == content_fingerprint(shifted));
    auto retry = base;
    retry.request_id = "r2";
    CHECK_TRUE(content_fingerprint(base) == content_fingerprint(retry));
}
