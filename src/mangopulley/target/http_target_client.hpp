#pragma once

#include "../core/clock.hpp"
#include "target_client.hpp"

namespace mangopulley {

/*! @brief Client of the targets' HTTP interface with a pool of keep-alive connections per target. */
class http_target_client final : public target_client {
public:
    /**
     * @brief Creates a client without opening a connection.
     * @param time Clock for deadlines; must outlive the client.
     * @param connect_timeout Maximum time for opening a connection.
     * @param connections_per_target Maximum number of idle connections kept open per target.
     */
    http_target_client(const clock& time, milliseconds connect_timeout, std::size_t connections_per_target);
    ~http_target_client() override;

    [[nodiscard]] result<std::unique_ptr<exchange>> begin(std::string_view endpoint,
                                                          const target_request& request) override;
    [[nodiscard]] std::optional<std::size_t> wait_any(std::span<exchange* const> open, time_point until) override;
    [[nodiscard]] result<load_report> probe(std::string_view endpoint, time_point deadline) override;

    struct implementation;

private:
    std::shared_ptr<implementation> self;
};

} // namespace mangopulley
