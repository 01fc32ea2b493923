#include <mangopulley/wire/message.hpp>

#include <CppUTest/TestHarness.h>

using mangopulley::incarnation_id;
using mangopulley::message_reader;
using mangopulley::message_writer;

TEST_GROUP(message){};

// Guards against fields that change between encoding and decoding.
TEST(message, reads_back_what_was_written) {
    message_writer writer{};
    writer.array(5U).number(7U).real(0.5).boolean(true).text("proof").id(incarnation_id{0xabcdefU});
    const auto bytes = writer.take();
    message_reader reader{bytes};
    CHECK_EQUAL(5U, reader.array(5U));
    CHECK_EQUAL(7U, reader.number());
    DOUBLES_EQUAL(0.5, reader.real(), 0.0);
    CHECK_TRUE(reader.boolean());
    CHECK_TRUE(reader.text() == "proof");
    CHECK_TRUE(reader.id() == incarnation_id{0xabcdefU});
    CHECK_TRUE(reader.valid());
    CHECK_TRUE(reader.finished());
}

// Guards against reading past the end of a truncated message.
TEST(message, rejects_every_proper_prefix) {
    message_writer writer{};
    writer.array(2U).text("seal").number(70000U);
    const auto bytes = writer.take();
    for (std::size_t length = 0U; length < bytes.size(); ++length) {
        message_reader reader{std::string_view{bytes}.substr(0U, length)};
        reader.array(2U);
        static_cast<void>(reader.text());
        static_cast<void>(reader.number());
        CHECK_FALSE(reader.valid());
    }
}

// Guards against a large allocation caused by a small malicious message.
TEST(message, rejects_arrays_above_the_limit) {
    message_writer writer{};
    writer.array(3U).number(1U).number(2U).number(3U);
    const auto bytes = writer.take();
    message_reader reader{bytes};
    CHECK_EQUAL(0U, reader.array(2U));
    CHECK_FALSE(reader.valid());
}
