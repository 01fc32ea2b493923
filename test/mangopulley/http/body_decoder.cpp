#include <string>
#include <string_view>
#include <vector>

#include <mangopulley/http/body_decoder.hpp>

#include <CppUTest/TestHarness.h>

using mangopulley::body_decoder;

namespace {

constexpr std::size_t longest = 64U;

struct outcome {
    body_decoder::state state{};
    std::string body{};
    std::string rest{};
};

/*! @brief Feeds a text in pieces of the given size. */
[[nodiscard]] outcome feed(body_decoder decoder, const std::string_view text, const std::size_t piece) {
    outcome seen{body_decoder::state::incomplete, {}, {}};
    for (std::size_t position = 0U; position < text.size() && seen.state == body_decoder::state::incomplete;
         position += piece) {
        auto bytes = text.substr(position, piece);
        seen.state = decoder.feed(bytes, seen.body);
        seen.rest = std::string{bytes};
    }
    return seen;
}

} // namespace

TEST_GROUP(body_decoder){};

// Guards against bodies that depend on how the network cuts them.
TEST(body_decoder, decodes_chunks_however_they_are_cut) {
    const std::string text{"4\r\nmang\r\n7;note=x\r\nopulley\r\n0\r\nTrailer: a\r\n\r\n"};
    for (std::size_t piece = 1U; piece <= text.size(); ++piece) {
        const auto seen = feed({body_decoder::framing::chunked, 0U, longest}, text, piece);
        CHECK_TRUE(seen.state == body_decoder::state::complete);
        STRCMP_EQUAL("mangopulley", seen.body.c_str());
    }
}

// Guards against bytes of the next message being taken into this one.
TEST(body_decoder, leaves_what_follows_the_body) {
    const auto chunked = feed({body_decoder::framing::chunked, 0U, longest}, "1\r\na\r\n0\r\n\r\nHTTP", 100U);
    STRCMP_EQUAL("HTTP", chunked.rest.c_str());
    const auto counted = feed({body_decoder::framing::length, 2U, longest}, "abHTTP", 100U);
    STRCMP_EQUAL("ab", counted.body.c_str());
    STRCMP_EQUAL("HTTP", counted.rest.c_str());
}

// Guards against framing that another program on the way would read differently, and against unbounded memory.
TEST(body_decoder, rejects_malformed_and_long_bodies) {
    struct row {
        const char* fault;
        std::string text;
        body_decoder::state expected;
    };
    const std::vector<row> rows{{"no digits", "\r\n", body_decoder::state::malformed},
                                {"not hexadecimal", "4x\r\nmang\r\n", body_decoder::state::malformed},
                                {"bare line feed", "1\na\r\n", body_decoder::state::malformed},
                                {"data longer than its size", "1\r\nab\r\n", body_decoder::state::malformed},
                                {"size beyond 64 bits", "11111111111111111\r\n", body_decoder::state::malformed},
                                {"chunk too long", "41\r\n", body_decoder::state::too_long},
                                {"endless size line", std::string(5'000U, '0'), body_decoder::state::malformed}};
    for (const auto& item : rows) {
        const auto seen = feed({body_decoder::framing::chunked, 0U, longest}, item.text, item.text.size());
        CHECK_TRUE_TEXT(seen.state == item.expected, item.fault);
    }
    const auto counted = feed({body_decoder::framing::length, longest + 1U, longest}, "a", 1U);
    CHECK_TRUE(counted.state == body_decoder::state::too_long);
}
