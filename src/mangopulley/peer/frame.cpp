#include "frame.hpp"

#include <Poco/Net/NetException.h>

namespace mangopulley::internal {

namespace {

void receive_exactly(Poco::Net::StreamSocket& socket, char* buffer, const std::size_t size) {
    std::size_t transferred = 0U;
    while (transferred < size) {
        const int count = socket.receiveBytes(buffer + transferred, static_cast<int>(size - transferred));
        if (count <= 0) {
            throw Poco::Net::ConnectionResetException{"connection closed by peer"};
        }
        transferred += static_cast<std::size_t>(count);
    }
}

} // namespace

void write_frame(Poco::Net::StreamSocket& socket, const std::string_view body) {
    const auto size = static_cast<std::uint32_t>(body.size());
    std::string frame{};
    frame.reserve(frame_header_bytes + body.size());
    for (const unsigned shift : {24U, 16U, 8U, 0U}) {
        frame.push_back(static_cast<char>((size >> shift) & 0xFFU));
    }
    frame.append(body);
    std::size_t transferred = 0U;
    while (transferred < frame.size()) {
        const int count = socket.sendBytes(frame.data() + transferred, static_cast<int>(frame.size() - transferred));
        if (count <= 0) {
            throw Poco::Net::ConnectionResetException{"connection closed by peer"};
        }
        transferred += static_cast<std::size_t>(count);
    }
}

std::string read_frame(Poco::Net::StreamSocket& socket) {
    std::array<char, frame_header_bytes> header{};
    receive_exactly(socket, header.data(), header.size());
    std::uint32_t size = 0U;
    for (const char byte : header) {
        size = (size << 8U) | static_cast<unsigned char>(byte);
    }
    if (size > longest_frame) {
        throw Poco::Net::MessageException{"frame exceeds the maximum size"};
    }
    std::string body(size, '\0');
    receive_exactly(socket, body.data(), body.size());
    return body;
}

} // namespace mangopulley::internal
