#include <string>
#include <vector>

#include <mangopulley/gateway/response_verdict.hpp>

#include <CppUTest/TestHarness.h>

using namespace mangopulley;
using mangopulley::internal::answers_request;
using mangopulley::internal::response_verdict;
using mangopulley::internal::verdict_of;

namespace {

[[nodiscard]] http_response response_with(const int status) {
    http_response response{};
    response.head.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    return response;
}

} // namespace

TEST_GROUP(response_verdict){};

// Guards against a request that is said not to have run, or that runs again, on the word of a response that only a
// target that ran it sends, and against a failure or foreign bytes that pass for a success.
TEST(response_verdict, believes_a_refusal_only_where_the_status_can_state_it) {
    struct row {
        int status;
        bool stamped;
        bool not_executed;
        response_verdict expected;
    };
    const std::vector<row> rows{
        {200, true, false, response_verdict::succeeded},   {404, true, false, response_verdict::succeeded},
        {200, true, true, response_verdict::not_genuine},  {200, false, true, response_verdict::not_genuine},
        {302, false, true, response_verdict::not_genuine}, {500, true, true, response_verdict::not_genuine},
        {504, true, true, response_verdict::not_genuine},  {504, false, true, response_verdict::not_genuine},
        {503, true, false, response_verdict::failed},      {503, false, false, response_verdict::not_genuine},
        {503, false, true, response_verdict::refused},     {429, false, true, response_verdict::refused},
        {400, false, true, response_verdict::refused},     {421, false, false, response_verdict::misdirected},
        {421, false, true, response_verdict::misdirected}};
    for (const auto& item : rows) {
        response_metadata metadata{};
        metadata.has_response_stamp = item.stamped;
        metadata.not_executed = item.not_executed;
        LONGS_EQUAL_TEXT(static_cast<int>(item.expected),
                         static_cast<int>(verdict_of(response_with(item.status), metadata)),
                         std::to_string(item.status).c_str());
    }
}

// Guards against the fields of two responses in one head.
TEST(response_verdict, takes_a_mixed_head_for_no_response_of_a_target) {
    response_metadata metadata{};
    metadata.has_response_stamp = true;
    metadata.mixed = true;
    CHECK_TRUE(verdict_of(response_with(200), metadata) == response_verdict::not_genuine);
    metadata.not_executed = true;
    CHECK_TRUE(verdict_of(response_with(503), metadata) == response_verdict::not_genuine);
    CHECK_TRUE(verdict_of(response_with(421), metadata) == response_verdict::not_genuine);
}

// Guards against a body in a coding that the caller did not ask for.
TEST(response_verdict, takes_an_encoded_body_for_no_response_of_a_target) {
    auto response = response_with(200);
    response.head.add("Content-Encoding", "gzip");
    response_metadata metadata{};
    metadata.has_response_stamp = true;
    CHECK_TRUE(verdict_of(response, metadata) == response_verdict::not_genuine);
}

// Guards against a late response that is taken for the answer to the next request on its connection.
TEST(response_verdict, believes_a_response_without_an_id_only_on_a_new_connection) {
    response_metadata metadata{};
    CHECK_TRUE(answers_request(metadata, "1", false));
    CHECK_FALSE(answers_request(metadata, "1", true));
    metadata.request_id = std::string{"2"};
    CHECK_FALSE(answers_request(metadata, "1", false));
    CHECK_TRUE(answers_request(metadata, "2", true));
}
