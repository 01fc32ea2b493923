#include "request_parser.hpp"

#include <algorithm>
#include <charconv>
#include <istream>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/MemoryStream.h>
#include <Poco/URI.h>

namespace mangopulley {

namespace internal {

constexpr std::string_view head_end = "\r\n\r\n";
constexpr std::size_t longest_target = 4'096U;

[[nodiscard]] bool is_token(const std::string_view text) noexcept {
    static constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    const auto allowed = [](const char letter) {
        return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') ||
               (letter >= '0' && letter <= '9') || marks.find(letter) != std::string_view::npos;
    };
    return !text.empty() && std::all_of(text.begin(), text.end(), allowed);
}

[[nodiscard]] bool has_control_character(const std::string_view text) noexcept {
    return std::any_of(text.begin(), text.end(), [](const char letter) {
        const auto code = static_cast<unsigned char>(letter);
        return (code < 0x20U && letter != '\t') || code == 0x7FU;
    });
}

} // namespace internal

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
        const auto end = this->buffer.find(internal::head_end);
        if (end == std::string::npos && this->buffer.size() <= this->bounds.longest_head) {
            return state::incomplete;
        }
        if (end == std::string::npos || end > this->bounds.longest_head) {
            return this->reject(431, "request head too long");
        }
        const auto head_size = end + internal::head_end.size();
        const std::string_view head{this->buffer.data(), head_size};
        if (!this->head_is_well_formed(head) || !this->parse_head(head) || !this->read_framing()) {
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

bool request_parser::head_is_well_formed(const std::string_view head) {
    auto rest = head.substr(0U, head.size() - 2U);
    std::size_t lines = 0U;
    while (!rest.empty()) {
        const auto line = rest.substr(0U, rest.find("\r\n"));
        rest.remove_prefix(std::min(rest.size(), line.size() + 2U));
        if (internal::has_control_character(line)) {
            static_cast<void>(this->reject(400, "control character in the request head"));
            return false;
        }
        // The first line is the request line; each other line must have a name right before its colon. Lines folded
        // or with white space before the colon are read differently by different programs.
        if (lines > 0U && !internal::is_token(line.substr(0U, line.find(':')))) {
            static_cast<void>(this->reject(400, "malformed header line"));
            return false;
        }
        if (lines > 0U && line.find(':') == std::string_view::npos) {
            static_cast<void>(this->reject(400, "header line without a colon"));
            return false;
        }
        if (++lines > this->bounds.most_headers + 1U) {
            static_cast<void>(this->reject(431, "too many header lines"));
            return false;
        }
    }
    return true;
}

bool request_parser::parse_head(const std::string_view head) {
    try {
        Poco::MemoryInputStream stream{head.data(), static_cast<std::streamsize>(head.size())};
        this->request.head.read(stream);
    } catch (const Poco::Exception&) {
        static_cast<void>(this->reject(400, "malformed request head"));
        return false;
    }
    const auto& target = this->request.head.getURI();
    const auto& version = this->request.head.getVersion();
    if (version != Poco::Net::HTTPMessage::HTTP_1_1 && version != Poco::Net::HTTPMessage::HTTP_1_0) {
        static_cast<void>(this->reject(400, "HTTP version not supported"));
        return false;
    }
    if (!internal::is_token(this->request.head.getMethod()) || target.empty() || target.front() != '/') {
        static_cast<void>(this->reject(400, "malformed request line"));
        return false;
    }
    if (target.size() > internal::longest_target) {
        static_cast<void>(this->reject(414, "request target too long"));
        return false;
    }
    if (version == Poco::Net::HTTPMessage::HTTP_1_1 && !this->request.head.has("Host")) {
        static_cast<void>(this->reject(400, "no Host header"));
        return false;
    }
    const auto mark = target.find('?');
    this->request.path = target.substr(0U, mark);
    this->request.query = mark == std::string::npos ? std::string{} : target.substr(mark + 1U);
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
    if (Poco::icompare(head.get("Transfer-Encoding"), "chunked") != 0) {
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
