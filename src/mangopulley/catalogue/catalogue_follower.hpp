#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "../core/clock.hpp"
#include "../core/error.hpp"
#include "../core/kernel.hpp"
#include "../membership/fwd.hpp"
#include "../peer/fwd.hpp"
#include "../store/fwd.hpp"
#include "catalogue_holder.hpp"

namespace mangopulley {

/**
 * @brief Maximum wait of a store watch of the catalogue.
 *
 * A watch that ends without a change confirms the version as of the time the watch was sent. With a wait of 1 s, the
 * confirmations of watchers would be up to 2 s old, which leaves too little of the 4 s bound for propagation to the
 * other instances.
 */
inline constexpr milliseconds catalogue_wait{500};
/*! @brief Maximum wait of a store watch of the instance list. */
inline constexpr milliseconds instances_wait{1000};
/*! @brief Confirmation age beyond which an instance that is not a watcher queries the store itself. */
inline constexpr milliseconds store_query_age{2500};

/**
 * @brief Keeps the catalogue and the platform's instance list of this process up to date.
 *
 * The watchers of each zone watch the store. The other instances pull from peers that have a higher version, and query
 * the store only at startup and while their confirmation is older than `store_query_age`. Versions never decrease.
 */
class catalogue_follower final : public plugin {
public:
    /*! @brief Decodes the value of `catalogue/current`. */
    using decoder = std::function<result<catalogue_document>(std::string_view value)>;

    /*! @brief Collaborators of the follower; all must outlive it. */
    struct dependencies {
        const clock& time;
        store_client& store;
        peer_transport& transport;
        catalogue_holder& holder;
        member_table& members;
        const instance_selector& selector;
        catalogue_freshness& freshness;
    };

    /**
     * @brief Creates a stopped follower.
     * @param collaborators Objects that the follower uses.
     * @param decode Decodes the value of `catalogue/current`.
     */
    catalogue_follower(const dependencies& collaborators, decoder decode);
    ~catalogue_follower() override;

    /*! @brief Sets the callback for each new version, such as a push to peers; must be called before `start`. */
    void on_advance(std::function<void()> listener);

    [[nodiscard]] std::string_view name() const noexcept override;
    void start() override;
    void stop() noexcept override;

    /**
     * @brief Queries the store for a newer catalogue if a query by this instance is due.
     * @return Whether the caller may poll again at once; on false, it pauses first.
     */
    bool poll_catalogue();
    /*! @brief Queries the store for a newer instance list; see `poll_catalogue`. */
    bool poll_instances();

    /**
     * @brief Pulls the catalogue and the instance list from a peer, each only if the peer's version is higher.
     * @param endpoint Endpoint of the peer.
     * @param version Catalogue version of the peer.
     * @param revision Revision of the peer's instance list.
     */
    void pull_newer_from(std::string_view endpoint, std::uint64_t version, std::uint64_t revision);

    /*! @brief Handles a `catalogue_pull` message; empty optional when the body is malformed. */
    [[nodiscard]] std::optional<std::string> handle_catalogue_pull(std::string_view body) const;
    /*! @brief Handles an `instances_pull` message; empty optional when the body is malformed. */
    [[nodiscard]] std::optional<std::string> handle_instances_pull(std::string_view body) const;

    /*! @brief Number of calls made to the store. */
    [[nodiscard]] std::uint64_t store_calls() const noexcept;
    /*! @brief Number of values from the store or from peers that could not be decoded. */
    [[nodiscard]] std::uint64_t decode_failures() const noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
