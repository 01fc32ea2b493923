#include "response_parser.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include <Poco/String.h>

#include "../core/whole_number.hpp"
#include "field_names.hpp"
#include "head_lines.hpp"

namespace mangopulley {

namespace internal {

namespace {

constexpr std::size_t longest_response_head = 65'536U;
// Bounds a peer that sends interim responses without end.
constexpr std::size_t max_interim_responses = 16U;
constexpr int first_status = 100;
constexpr int first_final_status = 200;
constexpr int last_status = 599;
constexpr std::size_t status_digits = 3U;

/*! @brief Returns the one Content-Length, or nothing when it is malformed or contradictory. */
[[nodiscard]] std::optional<std::size_t> content_length(const Poco::Net::HTTPResponse& head) {
    std::optional<std::size_t> length{};
    for (const auto& [name, value] : head) {
        if (Poco::icompare(name, field_name::content_length) != 0) {
            continue;
        }
        const auto number = parse_whole<std::size_t>(value);
        if (!number || (length && *length != *number)) {
            return std::nullopt;
        }
        length = number;
    }
    return length;
}

} // namespace

} // namespace internal

response_parser::state response_parser::read_head() {
    // Bytes that cannot begin a status line never become a response.
    constexpr std::string_view start{"HTTP/1."};
    const auto seen = std::min(this->buffer.size(), start.size());
    if (std::string_view{this->buffer}.substr(0U, seen) != start.substr(0U, seen)) {
        return state::malformed;
    }
    const auto end = this->buffer.find(internal::head_end);
    if (end == std::string::npos) {
        return this->buffer.size() <= internal::longest_response_head ? state::incomplete : state::malformed;
    }
    this->response = http_response{};
    if (!this->parse_head(std::string_view{this->buffer}.substr(0U, end))) {
        return state::malformed;
    }
    this->buffer.erase(0U, end + internal::head_end.size());
    this->response.keep_alive = this->response.head.getKeepAlive();
    return state::complete;
}

bool response_parser::parse_head(std::string_view head) {
    const auto status_line = internal::take_line(head);
    if (internal::has_control_character(status_line) || !this->parse_status_line(status_line)) {
        return false;
    }
    while (!head.empty()) {
        const auto line = internal::take_line(head);
        const auto field = internal::parse_field_line(line);
        if (!field || internal::has_control_character(line)) {
            return false;
        }
        this->response.head.add(std::string{field->name}, std::string{field->value});
    }
    return true;
}

bool response_parser::parse_status_line(const std::string_view line) {
    const std::string version{line.substr(0U, line.find(' '))};
    const auto rest = line.substr(std::min(line.size(), version.size() + 1U));
    const auto digits = rest.substr(0U, rest.find(' '));
    const auto status = parse_whole<std::uint16_t>(digits);
    const bool known_version =
        version == Poco::Net::HTTPMessage::HTTP_1_1 || version == Poco::Net::HTTPMessage::HTTP_1_0;
    if (!known_version || digits.size() != internal::status_digits || !status || *status < internal::first_status) {
        return false;
    }
    this->response.head.setVersion(version);
    this->response.head.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(*status));
    this->response.head.setReason(std::string{rest.substr(std::min(rest.size(), digits.size() + 1U))});
    return true;
}

bool response_parser::choose_framing() {
    const auto& head = this->response.head;
    const int status = this->response.status();
    if (this->bodiless || status == Poco::Net::HTTPResponse::HTTP_NO_CONTENT ||
        status == Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED) {
        this->body = body_decoder{body_decoder::framing::none, 0U, this->longest};
        return true;
    }
    if (head.has(field_name::transfer_encoding)) {
        if (head.has(field_name::content_length) ||
            Poco::icompare(head.get(field_name::transfer_encoding), "chunked") != 0) {
            return false;
        }
        this->body = body_decoder{body_decoder::framing::chunked, 0U, this->longest};
        return true;
    }
    if (head.has(field_name::content_length)) {
        const auto length = internal::content_length(head);
        this->body = body_decoder{body_decoder::framing::length, length.value_or(0U), this->longest};
        return length.has_value();
    }
    this->body = body_decoder{body_decoder::framing::until_close, 0U, this->longest};
    this->response.keep_alive = false;
    return true;
}

response_parser::state response_parser::examine_head() {
    while (!this->head_done) {
        const auto read = this->read_head();
        if (read != state::complete) {
            return read;
        }
        const int status = this->response.status();
        if (status >= internal::first_final_status) {
            if (status > internal::last_status || !this->choose_framing()) {
                return state::malformed;
            }
            this->head_done = true;
        } else if (status == Poco::Net::HTTPResponse::HTTP_SWITCHING_PROTOCOLS ||
                   ++this->interim > internal::max_interim_responses) {
            return state::malformed;
        }
    }
    return state::complete;
}

response_parser::state response_parser::examine_body() {
    std::string_view rest{this->buffer};
    const auto done = this->body_done ? body_decoder::state::complete : this->body.feed(rest, this->response.body);
    this->buffer.erase(0U, this->buffer.size() - rest.size());
    switch (done) {
    case body_decoder::state::complete:
        this->body_done = true;
        return state::complete;
    case body_decoder::state::incomplete:
        return state::incomplete;
    case body_decoder::state::malformed:
    case body_decoder::state::too_long:
        break;
    }
    return state::malformed;
}

response_parser::state response_parser::examine() {
    if (this->failed) {
        return state::malformed;
    }
    auto present = this->examine_head();
    if (present == state::complete) {
        present = this->examine_body();
    }
    this->failed = present == state::malformed;
    return present;
}

response_parser::state response_parser::finish(const bool broken) {
    const auto present = this->examine();
    if (present == state::incomplete && this->head_done && !broken && this->body.ends_with_connection()) {
        this->body_done = true;
        return state::complete;
    }
    return present == state::complete ? present : state::malformed;
}

void response_parser::begin_next() noexcept {
    this->interim = 0U;
    this->head_done = false;
    this->head_taken = false;
    this->body_done = false;
}

http_response response_parser::take() {
    this->head_taken = true;
    if (this->body_done) {
        this->begin_next();
    }
    return std::exchange(this->response, http_response{});
}

std::string response_parser::take_body() {
    if (this->body_done) {
        this->begin_next();
    }
    return std::exchange(this->response.body, std::string{});
}

} // namespace mangopulley
