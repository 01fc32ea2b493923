#include "response_reader.hpp"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace soak {

namespace {

constexpr std::string_view line_end{"\r\n"};

template <typename Number>
[[nodiscard]] std::optional<Number> parse_number(const std::string_view text, const int base) {
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, base);
    return error == std::errc{} && end == text.data() + text.size() ? std::optional<Number>{value} : std::nullopt;
}

} // namespace

std::string seen_response::field(const std::string& name) const {
    const auto found = this->fields.find(name);
    return found == this->fields.end() ? std::string{} : found->second;
}

response_reader::state response_reader::feed(const std::string_view bytes) {
    this->buffer.append(bytes);
    if (!this->head_done) {
        const auto end = this->buffer.find("\r\n\r\n");
        if (end == std::string::npos) {
            return state::incomplete;
        }
        if (!this->parse_head(std::string_view{this->buffer}.substr(0U, end + line_end.size()))) {
            return state::malformed;
        }
        this->buffer.erase(0U, end + 2U * line_end.size());
        this->head_done = true;
    }
    return this->chunked ? this->read_chunks() : this->read_body();
}

bool response_reader::ends_with_connection() const noexcept {
    return this->head_done && !this->chunked && !this->length.has_value();
}

bool response_reader::begin_next() {
    const bool nothing_left = this->buffer.empty();
    *this = response_reader{};
    return nothing_left;
}

bool response_reader::parse_head(std::string_view head) {
    constexpr std::string_view version{"HTTP/1.1 "};
    constexpr std::size_t digits = 3U;
    if (!head.starts_with(version)) {
        return false;
    }
    const auto status = parse_number<int>(head.substr(version.size(), digits), 10);
    if (!status) {
        return false;
    }
    this->current.status = *status;
    for (head.remove_prefix(head.find(line_end) + line_end.size()); !head.empty();) {
        const auto end = head.find(line_end);
        const auto colon = head.substr(0U, end).find(':');
        if (colon == std::string_view::npos) {
            return false;
        }
        std::string name{head.substr(0U, colon)};
        std::transform(name.begin(), name.end(), name.begin(),
                       [](const unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
        auto value = head.substr(colon + 1U, end - colon - 1U);
        value.remove_prefix(std::min(value.find_first_not_of(' '), value.size()));
        this->current.fields[name] = value;
        head.remove_prefix(end + line_end.size());
    }
    this->chunked = this->current.field("transfer-encoding") == "chunked";
    const auto announced = this->current.field("content-length");
    this->length = parse_number<std::size_t>(announced, 10);
    return announced.empty() || (this->length && !this->chunked);
}

response_reader::state response_reader::read_body() {
    const auto missing = this->length ? *this->length - this->current.body.size() : this->buffer.size();
    const auto taken = std::min(missing, this->buffer.size());
    this->current.body.append(this->buffer, 0U, taken);
    this->buffer.erase(0U, taken);
    return this->length && taken == missing ? state::complete : state::incomplete;
}

response_reader::state response_reader::read_chunks() {
    for (;;) {
        const auto end = this->buffer.find(line_end);
        if (end == std::string::npos) {
            return state::incomplete;
        }
        const auto size = parse_number<std::size_t>(std::string_view{this->buffer}.substr(0U, end), 16);
        if (!size) {
            return state::malformed;
        }
        const auto begin = end + line_end.size();
        if (this->buffer.size() < begin + *size + line_end.size()) {
            return state::incomplete;
        }
        if (this->buffer.compare(begin + *size, line_end.size(), line_end) != 0) {
            return state::malformed;
        }
        this->current.body.append(this->buffer, begin, *size);
        this->buffer.erase(0U, begin + *size + line_end.size());
        if (*size == 0U) {
            return state::complete;
        }
    }
}

} // namespace soak
