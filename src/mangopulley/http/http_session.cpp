#include "http_session.hpp"

#include <algorithm>
#include <array>
#include <chrono>
#include <limits>
#include <optional>
#include <sstream>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include "response_parser.hpp"

namespace mangopulley {

namespace internal {

namespace {

// Bodies are held whole in memory, so that a cut answer is never passed on; larger ones are refused.
constexpr std::size_t longest_answer_body = 8'388'608U;
constexpr std::size_t answer_read_size = 16'384U;
constexpr milliseconds shortest_timeout{1};

[[nodiscard]] Poco::Timespan to_timespan(const duration time) {
    return {std::chrono::duration_cast<std::chrono::microseconds>(time).count()};
}

[[nodiscard]] bool states_length(const Poco::Net::HTTPResponse& head) {
    return head.hasContentLength() || head.getChunkedTransferEncoding();
}

} // namespace

} // namespace internal

struct http_session::implementation {
    Poco::Net::StreamSocket socket{};
    response_parser parser{internal::longest_answer_body};
    std::optional<time_point> deadline{};

    void write(std::string_view bytes) {
        constexpr std::size_t most = std::numeric_limits<int>::max();
        while (!bytes.empty()) {
            const int count = this->socket.sendBytes(bytes.data(), static_cast<int>(std::min(bytes.size(), most)));
            if (count <= 0) {
                throw Poco::Net::ConnectionAbortedException{"request not written"};
            }
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
    }

    /*! @brief Adds the next bytes of the connection to the answer. */
    void read() {
        if (this->deadline) {
            const auto left = *this->deadline - std::chrono::steady_clock::now();
            if (left <= duration::zero()) {
                throw Poco::TimeoutException{"answer not complete in time"};
            }
            this->socket.setReceiveTimeout(internal::to_timespan(std::max<duration>(left, internal::shortest_timeout)));
        }
        std::array<char, internal::answer_read_size> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
        const int count = this->socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
        if (count > 0) {
            this->parser.append({buffer.data(), static_cast<std::size_t>(count)});
        } else if (this->parser.started()) {
            throw Poco::Net::MessageException{"answer cut short"};
        } else {
            throw Poco::Net::NoMessageException{"connection closed by peer"};
        }
    }
};

http_session::http_session(std::unique_ptr<implementation> state) noexcept : self{std::move(state)} {}

http_session::~http_session() = default;

std::unique_ptr<http_session> http_session::connect(const std::string& address, const milliseconds timeout) {
    const auto limit = internal::to_timespan(timeout);
    auto state = std::make_unique<implementation>();
    state->socket.connect(Poco::Net::SocketAddress{address}, limit);
    state->socket.setNoDelay(true);
    state->socket.setSendTimeout(limit);
    state->socket.setReceiveTimeout(limit);
    return std::unique_ptr<http_session>{new http_session{std::move(state)}};
}

bool http_session::usable() {
    try {
        return !this->self->parser.started() &&
               !this->self->socket.poll(Poco::Timespan{0}, Poco::Net::Socket::SELECT_READ);
    } catch (const Poco::Exception&) {
        return false;
    }
}

void http_session::limit_receive(const milliseconds timeout) {
    this->self->deadline = std::chrono::steady_clock::now() + timeout;
}

void http_session::send(const Poco::Net::HTTPRequest& request, const std::string_view body) {
    std::ostringstream head{};
    request.write(head);
    auto bytes = std::move(head).str();
    bytes.append(body);
    this->self->write(bytes);
}

std::string http_session::receive(Poco::Net::HTTPResponse& response) {
    auto& parser = this->self->parser;
    while (true) {
        switch (parser.examine()) {
        case response_parser::state::complete: {
            auto answer = parser.take();
            response = answer.head;
            return std::move(answer.body);
        }
        case response_parser::state::malformed:
            throw Poco::Net::MessageException{"malformed answer"};
        case response_parser::state::incomplete:
            // Where the connection's end would be the end of the body, a cut can't be told.
            if (parser.head_complete() && !internal::states_length(parser.partial().head)) {
                throw Poco::Net::MessageException{"answer without length"};
            }
            this->self->read();
            break;
        }
    }
}

Poco::Net::StreamSocket& http_session::socket() noexcept {
    return this->self->socket;
}

} // namespace mangopulley
