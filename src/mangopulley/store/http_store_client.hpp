#pragma once

#include <memory>
#include <string>

#include "store_client.hpp"

namespace mangopulley {

/*! @brief Client of the store's HTTP interface; each concurrent call uses its own connection, which is then reused. */
class http_store_client final : public store_client {
public:
    /**
     * @brief Creates a client; connections are opened on demand by the calls.
     * @param address Address of the store as `ip:port`.
     * @param timeout Receive timeout of a call, in addition to the time that a watch waits; also the connect timeout.
     */
    http_store_client(std::string address, milliseconds timeout);
    ~http_store_client() override;

    [[nodiscard]] result<stored_object> get(std::string_view key) override;
    [[nodiscard]] result<std::uint64_t> put(std::string_view key, std::string_view value,
                                            std::uint64_t expected) override;
    [[nodiscard]] result<std::optional<stored_object>> watch(std::string_view key, std::uint64_t after,
                                                             milliseconds wait) override;
    [[nodiscard]] result<std::vector<listed_object>> list(std::string_view prefix) override;
    [[nodiscard]] result<std::optional<instance_list>> watch_instances(std::uint64_t after, milliseconds wait) override;

    /*! @brief Number of calls by kind since the client was created, for metrics and capacity planning. */
    struct store_call_counts {
        std::uint64_t reads{};
        std::uint64_t writes{};
        std::uint64_t watches{};
    };
    [[nodiscard]] store_call_counts counts() const noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
