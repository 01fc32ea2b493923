#include "body_decoder.hpp"

#include <algorithm>
#include <charconv>

namespace mangopulley {

namespace internal {

namespace {

// A chunk's size with its extensions, or one trailer field.
constexpr std::size_t longest_chunk_line = 4'096U;
constexpr int hexadecimal = 16;

} // namespace

} // namespace internal

body_decoder::state body_decoder::feed(std::string_view& bytes, std::string& body) {
    switch (this->form) {
    case framing::none:
        return state::complete;
    case framing::length:
        if (this->remaining > this->longest) {
            return state::too_long;
        }
        return this->take_data(bytes, body);
    case framing::until_close:
        if (body.size() + bytes.size() > this->longest) {
            return state::too_long;
        }
        body.append(bytes);
        bytes = {};
        return state::incomplete;
    case framing::chunked:
        return this->feed_chunks(bytes, body);
    }
    return state::malformed;
}

body_decoder::state body_decoder::take_data(std::string_view& bytes, std::string& body) {
    const auto count = std::min(bytes.size(), this->remaining);
    body.append(bytes.substr(0U, count));
    bytes.remove_prefix(count);
    this->remaining -= count;
    return this->remaining == 0U ? state::complete : state::incomplete;
}

bool body_decoder::take_line(std::string_view& bytes) {
    const auto end = bytes.find('\n');
    this->line.append(bytes.substr(0U, end));
    bytes.remove_prefix(end == std::string_view::npos ? bytes.size() : end + 1U);
    return end != std::string_view::npos;
}

body_decoder::state body_decoder::read_size(std::string_view& bytes) {
    if (!this->take_line(bytes)) {
        return this->line.size() > internal::longest_chunk_line ? state::malformed : state::incomplete;
    }
    const auto text = std::string_view{this->line}.substr(0U, this->line.find_first_of(";\r"));
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), this->remaining, internal::hexadecimal);
    const bool ends_well = this->line.size() > text.size() && this->line.back() == '\r';
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size() || !ends_well) {
        return state::malformed;
    }
    this->line.clear();
    this->next = this->remaining == 0U ? part::trailer : part::data;
    return state::complete;
}

body_decoder::state body_decoder::feed_chunks(std::string_view& bytes, std::string& body) {
    while (true) {
        switch (this->next) {
        case part::size:
            if (const auto done = this->read_size(bytes); done != state::complete) {
                return done;
            }
            if (this->remaining > this->longest || body.size() > this->longest - this->remaining) {
                return state::too_long;
            }
            break;
        case part::data:
            if (this->take_data(bytes, body) == state::incomplete) {
                return state::incomplete;
            }
            this->next = part::data_end;
            break;
        case part::data_end:
        case part::trailer:
            if (!this->take_line(bytes)) {
                return this->line.size() > internal::longest_chunk_line ? state::malformed : state::incomplete;
            }
            const bool empty = this->line == "\r";
            this->line.clear();
            if (this->next == part::data_end) {
                if (!empty) {
                    return state::malformed;
                }
                this->next = part::size;
            } else if (empty) {
                return state::complete;
            }
            break;
        }
    }
}

} // namespace mangopulley
