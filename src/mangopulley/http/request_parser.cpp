#include "request_parser.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/URI.h>

#include "head_lines.hpp"

namespace mangopulley {

namespace internal {

[[nodiscard]] std::ptrdiff_t count_fields(const Poco::Net::HTTPRequest& head, const std::string& name) {
    return std::count_if(head.begin(), head.end(),
                         [&name](const auto& field) { return Poco::icompare(field.first, name) == 0; });
}

} // namespace internal

bool http_request::is_head() const {
    return this->head.getMethod() == Poco::Net::HTTPRequest::HTTP_HEAD;
}

std::optional<std::string> http_request::header(const std::string& name) const {
    const auto position = this->head.find(name);
    return position == this->head.end() ? std::nullopt : std::optional{position->second};
}

std::optional<std::string> http_request::parameter(const std::string_view name) const {
    std::string_view rest{this->query};
    while (!rest.empty()) {
        const auto pair = rest.substr(0U, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1U));
        const auto equals = pair.find('=');
        if (pair.substr(0U, equals) == name) {
            std::string decoded{};
            if (equals != std::string_view::npos) {
                try {
                    Poco::URI::decode(std::string{pair.substr(equals + 1U)}, decoded, true);
                } catch (const Poco::Exception&) {
                    return std::nullopt;
                }
            }
            return decoded;
        }
    }
    return std::nullopt;
}

request_parser::state request_parser::reject(const int code, const std::string_view why) noexcept {
    this->status = code;
    this->reason = why;
    return state::rejected;
}

bool request_parser::take_continue_expected() noexcept {
    return std::exchange(this->continue_expected, false);
}

request_parser::state request_parser::examine() {
    if (this->status != 0) {
        return state::rejected;
    }
    if (!this->head_done) {
        this->skip_empty_line();
        const auto end = this->buffer.find(internal::head_end);
        if (end == std::string::npos && this->buffer.size() <= this->bounds.longest_head) {
            return state::incomplete;
        }
        if (end == std::string::npos || end > this->bounds.longest_head) {
            return this->reject(431, "request head too long");
        }
        const auto head_size = end + internal::head_end.size();
        const std::string_view head{this->buffer.data(), head_size};
        if (!this->parse_head(head) || !this->read_framing()) {
            return state::rejected;
        }
        this->head_done = true;
        this->buffer.erase(0U, head_size);
        this->continue_expected = this->request.head.get("Expect", "") == "100-continue" && this->buffer.empty();
    }
    return this->examine_body();
}

request_parser::state request_parser::examine_body() {
    std::string_view rest{this->buffer};
    const auto done = this->body_done ? body_decoder::state::complete : this->body.feed(rest, this->request.body);
    this->buffer.erase(0U, this->buffer.size() - rest.size());
    switch (done) {
    case body_decoder::state::complete:
        this->body_done = true;
        return state::complete;
    case body_decoder::state::incomplete:
        return state::incomplete;
    case body_decoder::state::too_long:
        return this->reject(413, "request body too long");
    case body_decoder::state::malformed:
        break;
    }
    return this->reject(400, "malformed chunk");
}

void request_parser::skip_empty_line() {
    if (!this->empty_line_skipped && this->buffer.starts_with(internal::line_end)) {
        this->buffer.erase(0U, internal::line_end.size());
        this->empty_line_skipped = true;
    }
}

bool request_parser::parse_head(const std::string_view head) {
    auto rest = head.substr(0U, head.size() - 2U);
    std::size_t lines = 0U;
    while (!rest.empty()) {
        const auto line = internal::take_line(rest);
        if (internal::has_control_character(line)) {
            static_cast<void>(this->reject(400, "control character in the request head"));
            return false;
        }
        if (lines > this->bounds.most_headers) {
            static_cast<void>(this->reject(431, "too many header lines"));
            return false;
        }
        if (!(lines++ == 0U ? this->parse_request_line(line) : this->parse_field(line))) {
            return false;
        }
    }
    const auto hosts = internal::count_fields(this->request.head, "Host");
    if (hosts > 1) {
        static_cast<void>(this->reject(400, "more than one Host header"));
        return false;
    }
    if (this->request.head.getVersion() == Poco::Net::HTTPMessage::HTTP_1_1 && hosts == 0) {
        static_cast<void>(this->reject(400, "no Host header"));
        return false;
    }
    return true;
}

bool request_parser::parse_request_line(const std::string_view line) {
    const auto method_end = line.find(' ');
    const auto target_end = line.rfind(' ');
    if (method_end == target_end) {
        static_cast<void>(this->reject(400, "malformed request line"));
        return false;
    }
    const std::string version{line.substr(target_end + 1U)};
    if (version != Poco::Net::HTTPMessage::HTTP_1_1 && version != Poco::Net::HTTPMessage::HTTP_1_0) {
        static_cast<void>(this->reject(400, "HTTP version not supported"));
        return false;
    }
    const auto method = line.substr(0U, method_end);
    const auto target = line.substr(method_end + 1U, target_end - method_end - 1U);
    const bool has_blank = target.find_first_of(" \t") != std::string_view::npos;
    if (!internal::is_token(method) || !target.starts_with('/') || has_blank) {
        static_cast<void>(this->reject(400, "malformed request line"));
        return false;
    }
    if (target.size() > this->bounds.longest_target) {
        static_cast<void>(this->reject(414, "request target too long"));
        return false;
    }
    this->request.head.setMethod(std::string{method});
    this->request.head.setURI(std::string{target});
    this->request.head.setVersion(version);
    const auto mark = target.find('?');
    this->request.path = target.substr(0U, mark);
    this->request.query = mark == std::string_view::npos ? std::string_view{} : target.substr(mark + 1U);
    return true;
}

bool request_parser::parse_field(const std::string_view line) {
    const auto field = internal::parse_field_line(line);
    if (!field) {
        static_cast<void>(this->reject(400, "malformed header line"));
        return false;
    }
    this->request.head.add(std::string{field->name}, std::string{field->value});
    return true;
}

bool request_parser::begin_chunks() {
    const auto& head = this->request.head;
    if (head.has("Content-Length")) {
        static_cast<void>(this->reject(400, "both Content-Length and Transfer-Encoding"));
        return false;
    }
    if (!this->bounds.accept_chunked) {
        static_cast<void>(this->reject(411, "a request body needs a Content-Length"));
        return false;
    }
    const bool single = internal::count_fields(head, "Transfer-Encoding") == 1;
    if (!single || Poco::icompare(head.get("Transfer-Encoding"), "chunked") != 0) {
        static_cast<void>(this->reject(400, "transfer coding not supported"));
        return false;
    }
    this->length.reset();
    this->body = body_decoder{body_decoder::framing::chunked, 0U, this->bounds.longest_body};
    return true;
}

bool request_parser::read_framing() {
    const auto& head = this->request.head;
    if (head.has("Transfer-Encoding")) {
        return this->begin_chunks();
    }
    std::size_t lengths = 0U;
    std::size_t bytes = 0U;
    for (const auto& [name, value] : head) {
        if (Poco::icompare(name, "Content-Length") != 0) {
            continue;
        }
        const auto parsed = std::from_chars(value.data(), value.data() + value.size(), bytes);
        if (++lengths > 1U || parsed.ec != std::errc{} || parsed.ptr != value.data() + value.size()) {
            static_cast<void>(this->reject(400, "contradictory or malformed Content-Length"));
            return false;
        }
    }
    if (lengths == 0U && !this->bounds.accept_chunked && head.getMethod() == Poco::Net::HTTPRequest::HTTP_POST) {
        static_cast<void>(this->reject(411, "a request body needs a Content-Length"));
        return false;
    }
    if (bytes > this->bounds.longest_body) {
        static_cast<void>(this->reject(413, "request body too long"));
        return false;
    }
    this->length = bytes;
    this->body = body_decoder{body_decoder::framing::length, bytes, this->bounds.longest_body};
    return true;
}

void request_parser::begin_next() noexcept {
    this->empty_line_skipped = false;
    this->head_done = false;
    this->head_taken = false;
    this->body_done = false;
}

http_request request_parser::take() {
    this->head_taken = true;
    if (this->body_done) {
        this->begin_next();
    }
    return std::exchange(this->request, http_request{});
}

std::string request_parser::take_body() {
    if (this->body_done) {
        this->begin_next();
    }
    return std::exchange(this->request.body, std::string{});
}

} // namespace mangopulley
