#include "body_decoder.hpp"

#include <algorithm>
#include <charconv>

namespace mangopulley {

namespace internal {

namespace {

// A chunk's size with its extensions, or one trailer field.
constexpr std::size_t longest_chunk_line = 4'096U;
// Bounds a body that never ends because it consists of extensions or trailer fields only.
constexpr std::size_t max_dropped_bytes = 65'536U;
constexpr std::size_t max_size_digits = 16U;
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
        if (bytes.size() > this->longest - this->decoded) {
            return state::too_long;
        }
        this->decoded += bytes.size();
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
    this->decoded += count;
    return this->remaining == 0U ? state::complete : state::incomplete;
}

body_decoder::state body_decoder::take_line(std::string_view& bytes) {
    const auto end = bytes.find('\n');
    this->line.append(bytes.substr(0U, end));
    bytes.remove_prefix(end == std::string_view::npos ? bytes.size() : end + 1U);
    if (this->line.size() > internal::longest_chunk_line) {
        return state::malformed;
    }
    return end == std::string_view::npos ? state::incomplete : state::complete;
}

bool body_decoder::count_dropped(const std::size_t bytes) noexcept {
    this->dropped += bytes;
    return this->dropped <= internal::max_dropped_bytes;
}

body_decoder::state body_decoder::read_size(std::string_view& bytes) {
    if (const auto done = this->take_line(bytes); done != state::complete) {
        return done;
    }
    const auto text = std::string_view{this->line}.substr(0U, this->line.find_first_of(";\r"));
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), this->remaining, internal::hexadecimal);
    const bool ends_well = this->line.size() > text.size() && this->line.back() == '\r';
    if (text.empty() || text.size() > internal::max_size_digits || parsed.ec != std::errc{} ||
        parsed.ptr != text.data() + text.size() || !ends_well ||
        !this->count_dropped(this->line.size() - text.size() - 1U)) {
        return state::malformed;
    }
    this->line.clear();
    this->next = this->remaining == 0U ? part::trailer : part::data;
    return this->remaining > this->longest - this->decoded ? state::too_long : state::complete;
}

body_decoder::state body_decoder::read_data_end(std::string_view& bytes) {
    if (const auto done = this->take_line(bytes); done != state::complete) {
        return done;
    }
    const bool empty = this->line == "\r";
    this->line.clear();
    this->next = part::size;
    return empty ? state::complete : state::malformed;
}

body_decoder::state body_decoder::read_trailer(std::string_view& bytes) {
    if (const auto done = this->take_line(bytes); done != state::complete) {
        return done;
    }
    const bool empty = this->line == "\r";
    const bool within_limit = this->count_dropped(this->line.size());
    this->line.clear();
    if (!within_limit) {
        return state::malformed;
    }
    this->next = empty ? part::end : part::trailer;
    return state::complete;
}

body_decoder::state body_decoder::feed_chunks(std::string_view& bytes, std::string& body) {
    while (this->next != part::end) {
        auto done = state::complete;
        switch (this->next) {
        case part::size:
            done = this->read_size(bytes);
            break;
        case part::data:
            done = this->take_data(bytes, body);
            this->next = done == state::complete ? part::data_end : part::data;
            break;
        case part::data_end:
            done = this->read_data_end(bytes);
            break;
        case part::trailer:
            done = this->read_trailer(bytes);
            break;
        case part::end:
            break;
        }
        if (done != state::complete) {
            return done;
        }
    }
    return state::complete;
}

} // namespace mangopulley
