#include <initializer_list>

#include <mangopulley/order/order_key.hpp>

#include <CppUTest/TestHarness.h>

using mangopulley::parse_order_key;

namespace {

const std::string home = "00000000000000aa";
const std::string witness = "00000000000000bb";
const std::string other = "00000000000000cc";

[[nodiscard]] std::string join(const std::initializer_list<std::string_view> fields) {
    std::string text{};
    for (const auto field : fields) {
        text.append(field).append("~");
    }
    text.pop_back();
    return text;
}

} // namespace

TEST_GROUP(order_key){};

// Guards against a key that changes when it is parsed and written again.
TEST(order_key, parsing_and_writing_round_trips) {
    for (const auto& text : {join({home, witness, other, "1800000000", "a-Z_9"}), join({home, witness, "-", "1", "k"}),
                             join({home, "-", "-", "999999999999999", std::string(64U, 'x')})}) {
        const auto key = parse_order_key(text);
        CHECK_TRUE(key.has_value());
        CHECK_TRUE(key->to_string() == text);
    }
}

// Guards against two texts of one key, which a ledger or a witness would treat as two orders.
TEST(order_key, rejects_every_other_form) {
    const std::string rejected[]{"",
                                 "k",
                                 join({home, witness, other, "1800000000"}),
                                 join({home, witness, other, "1800000000", ""}),
                                 join({home, witness, other, "01", "k"}),
                                 join({home, witness, other, "0", "k"}),
                                 join({home, witness, other, "+1", "k"}),
                                 join({home, witness, other, "1 ", "k"}),
                                 join({home, witness, other, "", "k"}),
                                 join({home, witness, other, "1000000000000000", "k"}),
                                 join({home, "-", witness, "1", "k"}),
                                 join({home, home, "-", "1", "k"}),
                                 join({home, witness, witness, "1", "k"}),
                                 join({"", witness, "-", "1", "k"}),
                                 join({"00000000000000AA", witness, "-", "1", "k"}),
                                 join({"aa", witness, "-", "1", "k"}),
                                 join({home, "", "-", "1", "k"}),
                                 join({home, witness, "-", "1", "a.b"}),
                                 join({home, witness, "-", "1", std::string(65U, 'x')}),
                                 join({home, witness, "-", "1", "a", "b"}),
                                 join({home, witness, "-", "1", "k\n"})};
    for (const auto& text : rejected) {
        CHECK_FALSE_TEXT(parse_order_key(text).has_value(), text.c_str());
    }
}

// Guards against a malformed token that is accepted as a key without a token, and against a digest that is not a valid
// unique part.
TEST(order_key, recognizes_keys_without_a_token) {
    CHECK_TRUE(mangopulley::is_unbound_key("\"8e03978e-40d5-43dd-bc93-6894a57f9324\""));
    CHECK_FALSE(mangopulley::is_unbound_key(""));
    CHECK_FALSE(mangopulley::is_unbound_key("a~b"));
    CHECK_FALSE(mangopulley::is_unbound_key("a b"));
    CHECK_FALSE(mangopulley::is_unbound_key(std::string(256U, 'x')));
    const auto digest = mangopulley::unbound_key_digest("invoice-7");
    CHECK_TRUE(parse_order_key(join({home, "-", "-", "1", digest})).has_value());
    CHECK_FALSE(digest == mangopulley::unbound_key_digest("invoice-8"));
}
