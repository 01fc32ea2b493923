#pragma once

#include <memory>

#include "peer_transport.hpp"

namespace mangopulley {

/*! @brief Sends messages over pooled TCP connections, with one call at a time on each connection. */
class tcp_peer_transport final : public peer_transport {
public:
    tcp_peer_transport();
    ~tcp_peer_transport() override;

    [[nodiscard]] result<std::string> call(std::string_view endpoint, message_type type, std::string_view body,
                                           milliseconds timeout) override;

    /*! @brief Bytes written to and read from sockets since the start, used to check the control traffic budget. */
    struct byte_counts {
        std::uint64_t sent{};
        std::uint64_t received{};
    };
    [[nodiscard]] byte_counts counts() const noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
