#include "frame.hpp"

#include <Poco/Net/NetException.h>

namespace mangopulley::internal {

namespace {

void receive_exactly(Poco::Net::StreamSocket& socket, char* buffer, const std::size_t size) {
    std::size_t done = 0U;
    while (done < size) {
        const int count = socket.receiveBytes(buffer + done, static_cast<int>(size - done));
        if (count <= 0) {
            throw Poco::Net::ConnectionResetException{"connection closed by peer"};
        }
        done += static_cast<std::size_t>(count);
    }
}

} // namespace

void write_frame(Poco::Net::StreamSocket& socket, const std::string_view body) {
    const auto size = static_cast<std::uint32_t>(body.size());
    std::string frame{};
    frame.reserve(frame_head_size + body.size());
    for (const unsigned shift : {24U, 16U, 8U, 0U}) {
        frame.push_back(static_cast<char>((size >> shift) & 0xFFU));
    }
    frame.append(body);
    std::size_t done = 0U;
    while (done < frame.size()) {
        const int count = socket.sendBytes(frame.data() + done, static_cast<int>(frame.size() - done));
        if (count <= 0) {
            throw Poco::Net::ConnectionResetException{"connection closed by peer"};
        }
        done += static_cast<std::size_t>(count);
    }
}

std::string read_frame(Poco::Net::StreamSocket& socket) {
    std::array<char, frame_head_size> head{};
    receive_exactly(socket, head.data(), head.size());
    std::uint32_t size = 0U;
    for (const char byte : head) {
        size = (size << 8U) | static_cast<unsigned char>(byte);
    }
    if (size > longest_frame) {
        throw Poco::Net::MessageException{"frame too long"};
    }
    std::string body(size, '\0');
    receive_exactly(socket, body.data(), body.size());
    return body;
}

} // namespace mangopulley::internal
