#include "message.hpp"

#include <utility>

#include <msgpuck.h>

namespace mangopulley {

namespace internal {

// Largest encoded size of a number or of the header of a string or array.
constexpr std::size_t max_value_header_bytes = 9U;

template <typename Encode>
void append(std::string& buffer, const std::size_t max_bytes, Encode encode) {
    const auto before = buffer.size();
    buffer.resize(before + max_bytes);
    const char* end = encode(buffer.data() + before);
    buffer.resize(static_cast<std::size_t>(end - buffer.data()));
}

} // namespace internal

message_writer& message_writer::array(const std::uint32_t size) {
    internal::append(this->buffer, internal::max_value_header_bytes,
                     [&](char* out) { return mp_encode_array(out, size); });
    return *this;
}

message_writer& message_writer::number(const std::uint64_t value) {
    internal::append(this->buffer, internal::max_value_header_bytes,
                     [&](char* out) { return mp_encode_uint(out, value); });
    return *this;
}

message_writer& message_writer::real(const double value) {
    internal::append(this->buffer, internal::max_value_header_bytes,
                     [&](char* out) { return mp_encode_double(out, value); });
    return *this;
}

message_writer& message_writer::boolean(const bool value) {
    internal::append(this->buffer, internal::max_value_header_bytes,
                     [&](char* out) { return mp_encode_bool(out, value); });
    return *this;
}

message_writer& message_writer::text(const std::string_view value) {
    internal::append(this->buffer, internal::max_value_header_bytes + value.size(), [&](char* out) {
        return mp_encode_str(out, value.data(), static_cast<std::uint32_t>(value.size()));
    });
    return *this;
}

message_writer& message_writer::id(const incarnation_id value) {
    return this->number(value.value());
}

std::string message_writer::take() noexcept {
    return std::exchange(this->buffer, {});
}

message_reader::message_reader(const std::string_view bytes) noexcept
    : position{bytes.data()}, end{bytes.data() + bytes.size()}, intact{true} {
    // msgpuck's decoders do not validate their input, so the whole buffer is checked once here.
    const char* checked = this->position;
    while (checked != this->end) {
        if (mp_check(&checked, this->end) != 0) {
            this->intact = false;
            this->end = this->position;
            return;
        }
    }
}

bool message_reader::next_is(const int type) noexcept {
    if (this->intact && this->position != this->end && mp_typeof(*this->position) == type) {
        return true;
    }
    this->intact = false;
    return false;
}

std::uint32_t message_reader::array(const std::uint32_t largest) {
    if (!this->next_is(MP_ARRAY)) {
        return 0U;
    }
    const auto size = mp_decode_array(&this->position);
    this->intact = size <= largest;
    return this->intact ? size : 0U;
}

std::uint64_t message_reader::number() {
    return this->next_is(MP_UINT) ? mp_decode_uint(&this->position) : 0U;
}

double message_reader::real() {
    return this->next_is(MP_DOUBLE) ? mp_decode_double(&this->position) : 0.0;
}

bool message_reader::boolean() {
    return this->next_is(MP_BOOL) && mp_decode_bool(&this->position);
}

std::string message_reader::text() {
    if (!this->next_is(MP_STR)) {
        return {};
    }
    std::uint32_t length{};
    const char* begin = mp_decode_str(&this->position, &length);
    return {begin, length};
}

incarnation_id message_reader::id() {
    return incarnation_id{this->number()};
}

} // namespace mangopulley
