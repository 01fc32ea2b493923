#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "../core/error.hpp"
#include "../core/incarnation_id.hpp"
#include "fwd.hpp"

namespace mangopulley {

/*! @brief Types of messages between instances; the values are part of the wire protocol. */
enum class message_type : unsigned char {
    heartbeat = 1,
    member_pull = 2,
    catalogue_pull = 3,
    instances_pull = 4,
    order_note = 5,
    order_seal = 6,
    order_forward = 7,
    order_query = 8,
    drain_notice = 9,
    /*! @brief Transfers the outcomes of finished orders to a witness at shutdown. */
    order_outcomes = 10
};

/*! @brief Maximum body size of a frame in bytes: the largest value of the store plus its envelope. */
inline constexpr std::size_t longest_frame = 1'048'576U + 4'096U;

/*! @brief Appends MessagePack values to a buffer. */
class message_writer {
public:
    message_writer& array(std::uint32_t size);
    message_writer& number(std::uint64_t value);
    message_writer& real(double value);
    message_writer& boolean(bool value);
    message_writer& text(std::string_view value);
    message_writer& id(incarnation_id value);

    /*! @brief Returns the encoded bytes and empties the writer. */
    [[nodiscard]] std::string take() noexcept;

private:
    std::string buffer{};
};

/**
 * @brief Reads MessagePack values in the order in which they were written.
 *
 * After a read of the wrong type or past the end, all further reads return empty values and `valid` returns false, so
 * a whole message can be read and then checked once.
 */
class message_reader {
public:
    /*! @brief Reads from a buffer that must outlive the reader; a malformed buffer makes the reader invalid. */
    explicit message_reader(std::string_view bytes) noexcept;

    /**
     * @brief Reads the header of an array.
     * @param largest Maximum accepted size, so that untrusted input cannot cause a large allocation.
     * @return Number of elements that follow; 0 after an error.
     */
    std::uint32_t array(std::uint32_t largest);
    std::uint64_t number();
    double real();
    bool boolean();
    std::string text();
    incarnation_id id();

    /*! @brief Returns whether the buffer is well-formed and every read so far found a value of the requested type. */
    [[nodiscard]] bool valid() const noexcept { return this->intact; }
    /*! @brief Returns whether all bytes have been read. */
    [[nodiscard]] bool finished() const noexcept { return this->position == this->end; }

private:
    [[nodiscard]] bool next_is(int type) noexcept;

    const char* position;
    const char* end;
    bool intact;
};

} // namespace mangopulley
