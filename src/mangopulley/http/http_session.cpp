#include "http_session.hpp"

#include <algorithm>
#include <cstring>
#include <istream>
#include <ostream>
#include <utility>

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocketImpl.h>

namespace mangopulley {

namespace internal {

constexpr std::string_view last_chunk = "\r\n0\r\n\r\n";
// Bodies are held whole in memory, so that a cut answer is never passed on; larger ones are refused.
constexpr std::size_t longest_body = 8'388'608U;
// Heads, interim answers and the framing of chunks.
constexpr std::size_t longest_overhead = 1'048'576U;

/*! @brief Keeps the last bytes received, since POCO's chunked stream ends alike after the last chunk and after a cut,
 * and bounds an answer: POCO reads interim answers and chunk extensions for as long as the peer sends them. */
class recording_socket final : public Poco::Net::StreamSocketImpl {
public:
    /*! @brief Starts to count the bytes of an answer. */
    void begin_answer() noexcept { this->received = 0U; }
    /*! @brief Sets the time by which an answer must be complete. */
    void set_deadline(const time_point latest) noexcept { this->deadline = latest; }

    int receiveBytes(void* buffer, int length, int flags) override { // NOLINT(readability-identifier-naming)
        if (this->received > longest_body + longest_overhead) {
            throw Poco::Net::MessageException{"answer too long"};
        }
        if (std::chrono::steady_clock::now() >= this->deadline) {
            throw Poco::TimeoutException{"answer not complete in time"};
        }
        const int count = StreamSocketImpl::receiveBytes(buffer, length, flags);
        if (count > 0) {
            this->received += static_cast<std::size_t>(count);
            this->tail.append(static_cast<const char*>(buffer), static_cast<std::size_t>(count));
            if (this->tail.size() > last_chunk.size()) {
                this->tail.erase(0U, this->tail.size() - last_chunk.size());
            }
        }
        return count;
    }

    [[nodiscard]] bool ends_with_last_chunk() const noexcept { return this->tail == last_chunk; }

private:
    std::string tail{};
    std::size_t received{};
    time_point deadline{time_point::max()};
};

/*! @brief Rejects an answer with a value that has control characters: POCO decodes encoded words, and line ends in them
 * would become fields of whatever message the value is copied to. */
void check_field_values(const Poco::Net::HTTPResponse& response) {
    const auto is_control = [](const char letter) {
        return static_cast<unsigned char>(letter) < 0x20U && letter != '\t';
    };
    const bool broken = std::any_of(response.begin(), response.end(), [&is_control](const auto& field) {
        return std::any_of(field.second.begin(), field.second.end(), is_control);
    });
    if (broken) {
        throw Poco::Net::MessageException{"control character in a field"};
    }
}

class fixed_connection_session final : public Poco::Net::HTTPClientSession {
public:
    explicit fixed_connection_session(const Poco::Net::StreamSocket& socket) : HTTPClientSession{socket} {
        this->setKeepAlive(true);
        this->setKeepAliveTimeout(Poco::Timespan{365, 0, 0, 0, 0});
    }

    Poco::Net::StreamSocket& stream() { return this->socket(); }

protected:
    void connect(const Poco::Net::SocketAddress& /*address*/) override {
        throw Poco::Net::ConnectionAbortedException{"connection closed by peer"};
    }
};

} // namespace internal

struct http_session::implementation {
    internal::recording_socket* recorder;
    internal::fixed_connection_session session;

    implementation(internal::recording_socket* impl, const Poco::Net::StreamSocket& socket)
        : recorder{impl}, session{socket} {}
};

http_session::http_session(std::unique_ptr<implementation> state) noexcept : self{std::move(state)} {}

http_session::~http_session() = default;

std::unique_ptr<http_session> http_session::connect(const std::string& address, const milliseconds timeout) {
    const Poco::Timespan limit{timeout.count() * 1000};
    auto* recorder = new internal::recording_socket{}; // owned by the socket through POCO's reference count
    Poco::Net::StreamSocket socket{recorder};
    socket.connect(Poco::Net::SocketAddress{address}, limit);
    socket.setNoDelay(true);
    socket.setSendTimeout(limit);
    socket.setReceiveTimeout(limit);
    return std::unique_ptr<http_session>{new http_session{std::make_unique<implementation>(recorder, socket)}};
}

bool http_session::usable() {
    try {
        return !this->self->session.stream().poll(Poco::Timespan{0}, Poco::Net::Socket::SELECT_READ);
    } catch (const Poco::Exception&) {
        return false;
    }
}

void http_session::limit_receive(const milliseconds timeout) {
    this->self->recorder->set_deadline(std::chrono::steady_clock::now() + timeout);
    this->self->session.stream().setReceiveTimeout(
        Poco::Timespan{std::max<Poco::Timespan::TimeDiff>(timeout.count(), 1) * 1000});
}

void http_session::send(Poco::Net::HTTPRequest& request, const std::string_view body) {
    this->self->recorder->begin_answer();
    auto& stream = this->self->session.sendRequest(request);
    stream.write(body.data(), static_cast<std::streamsize>(body.size()));
    stream.flush();
    if (this->self->session.networkException() != nullptr) {
        this->self->session.networkException()->rethrow();
    }
    if (!stream.good()) {
        throw Poco::Net::ConnectionAbortedException{"request not written"};
    }
}

std::string http_session::receive(Poco::Net::HTTPResponse& response) {
    auto& stream = this->self->session.receiveResponse(response);
    internal::check_field_values(response);
    const bool chunked = response.getChunkedTransferEncoding();
    const bool without_body = response.getStatus() == Poco::Net::HTTPResponse::HTTP_NO_CONTENT ||
                              response.getStatus() == Poco::Net::HTTPResponse::HTTP_NOT_MODIFIED;
    if (without_body) {
        return {};
    }
    if (!chunked && !response.hasContentLength()) {
        throw Poco::Net::MessageException{"answer without length"};
    }
    std::string body{};
    char buffer[8192]; // NOLINT(cppcoreguidelines-pro-type-member-init,cppcoreguidelines-init-variables)
    while (stream.read(buffer, sizeof(buffer)) || stream.gcount() > 0) {
        body.append(buffer, static_cast<std::size_t>(stream.gcount()));
        if (body.size() > internal::longest_body) {
            throw Poco::Net::MessageException{"answer too long"};
        }
    }
    const bool whole = chunked ? this->self->recorder->ends_with_last_chunk()
                               : body.size() == static_cast<std::size_t>(response.getContentLength64());
    if (!whole) {
        throw Poco::Net::MessageException{"answer cut short"};
    }
    return body;
}

Poco::Net::StreamSocket& http_session::socket() noexcept {
    return this->self->session.stream();
}

} // namespace mangopulley
