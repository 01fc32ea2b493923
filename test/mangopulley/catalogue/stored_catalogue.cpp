#include <array>
#include <string>
#include <utility>

#include <mangopulley/catalogue/stored_catalogue.hpp>

#include <CppUTest/TestHarness.h>

using mangopulley::decode_catalogue;
using mangopulley::encode_catalogue;
using mangopulley::stored_catalogue;

namespace {

stored_catalogue make_catalogue(const std::size_t count) {
    stored_catalogue catalogue{};
    for (std::size_t index = 0U; index < count; ++index) {
        const auto digits = std::to_string(1000U + index);
        catalogue = append_edit(catalogue, "services: []\n", {"000000000000" + digits, 0U, "operator \"é\"", 1700});
    }
    return catalogue;
}

} // namespace

TEST_GROUP(stored_catalogue){};

// Guards against values that change between the writing and the reading program, and against an unbounded edit list.
TEST(stored_catalogue, round_trips_with_the_last_64_edits) {
    for (const std::size_t count : {1U, 64U, 65U, 200U}) {
        const auto catalogue = make_catalogue(count);
        CHECK_EQUAL(count, catalogue.version);
        CHECK_EQUAL(std::min<std::size_t>(count, 64U), catalogue.edits.size());
        CHECK_EQUAL(count, catalogue.edits.back().version);
        const auto read = decode_catalogue("test", encode_catalogue(catalogue));
        CHECK_TRUE(read.has_value() && *read == catalogue);
    }
}

// Guards against accepting a corrupt object, which would move instances to a wrong version.
TEST(stored_catalogue, rejects_inconsistent_values) {
    const auto value = encode_catalogue(make_catalogue(3U));
    const std::array<std::pair<std::string, std::string>, 11U> replacements{{
        {R"("version":3})", R"("version":4})"},
        {R"("version":2)", R"("version":1)"},
        {R"("version":3})", R"("version":3.0})"},
        {R"("version":3})", R"("version":-3})"},
        {R"("edit":"0000000000001002")", R"("edit":"0000000000001001")"},
        {R"("edit":"0000000000001002")", R"("edit":7)"},
        {R"("id":"0000000000001002")", R"("id":"xyz")"},
        {R"("edits":[)", R"("edits":[7,)"},
        {R"("edits":[)", R"("old":[)"},
        {R"("text":)", R"("note":)"},
        {R"({)", R"([{)"},
    }};
    for (const auto& [from, to] : replacements) {
        auto corrupt = value;
        const auto position = corrupt.rfind(from);
        CHECK_TRUE_TEXT(position != std::string::npos, from.c_str());
        corrupt.replace(position, from.size(), to);
        CHECK_FALSE_TEXT(decode_catalogue("test", corrupt).has_value(), to.c_str());
    }
    CHECK_FALSE(decode_catalogue("test", "").has_value());
}
