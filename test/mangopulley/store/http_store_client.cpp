#include <atomic>
#include <cstddef>
#include <optional>
#include <string>

#include <fake/scripted_peer.hpp>
#include <mangopulley/store/http_store_client.hpp>

#include <CppUTest/TestHarness.h>

using namespace mangopulley;

TEST_GROUP(http_store_client){};

// Guards against a write that counts as done, with a version of its own, by an answer that was cut in its head.
TEST(http_store_client, knows_no_effect_of_a_write_whose_answer_was_cut) {
    const std::string whole{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nETag: \"71\"\r\n\r\n"};
    std::atomic<std::size_t> cut{};
    const fake::scripted_peer peer{[&](const http_request&, std::size_t) {
        return fake::scripted_peer::reply{whole.substr(0U, cut), true};
    }};
    http_store_client store{peer.endpoint(), milliseconds{10'000}};
    for (cut = 0U; cut <= whole.size(); ++cut) {
        std::optional<store_error> failure{};
        const auto version = boost::leaf::try_handle_all([&] { return store.put("key", "value", 70U); },
                                                         [&](const store_error& error) {
                                                             failure = error;
                                                             return std::uint64_t{};
                                                         },
                                                         [] { return std::uint64_t{}; });
        const auto place = whole.substr(0U, cut);
        LONGS_EQUAL_TEXT(cut == whole.size() ? 71 : 0, version, place.c_str());
        const bool unknown = failure && failure->code == store_error::code::effect_unknown;
        CHECK_EQUAL_TEXT(cut != whole.size(), unknown, place.c_str());
    }
}
