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
#include "document_holder.hpp"

namespace mangopulley {

/**
 * @brief Longest wait of a watch of the catalogue at the store.
 *
 * A watch that ends without news confirms the time before it was sent. With a wait of 1 s, confirmations of watchers
 * would be up to 2 s old, which leaves too little of the bound of 4 s for the way to the other instances.
 */
inline constexpr milliseconds catalogue_wait{500};
/*! @brief Longest wait of a watch of the instance list. */
inline constexpr milliseconds instances_wait{1000};
/*! @brief Age of the confirmation from which an instance that is no watcher asks the store itself. */
inline constexpr milliseconds ask_store_age{2500};

/**
 * @brief Keeps the catalogue and the platform's instance list of this process up to date.
 *
 * The watchers of each zone watch the store; the other instances pull from peers that are ahead, and ask the store only
 * at their start and while their confirmation is old. Nothing ever moves to a lower version.
 */
class catalogue_follower final : public plugin {
public:
    /*! @brief Reads the value of `catalogue/current`. */
    using decoder = std::function<result<document>(std::string_view value)>;

    /*! @brief Parts that the follower works with; all must outlive it. */
    struct parts {
        const clock& time;
        store_client& store;
        peer_transport& transport;
        document_holder& holder;
        member_table& members;
        const address_book& addresses;
        standing& proof;
    };

    catalogue_follower(const parts& environment, decoder decode);
    ~catalogue_follower() override;

    /*! @brief Sets what is called after each new version, such as a push to peers; only before `start`. */
    void on_advance(std::function<void()> listener);

    [[nodiscard]] std::string_view name() const noexcept override;
    void start() override;
    void stop() noexcept override;

    /**
     * @brief Asks the store for a newer catalogue when it is this instance's turn to.
     * @return Whether the store answered; otherwise the caller pauses before it asks again.
     */
    bool poll_catalogue();
    /*! @brief Asks the store for a newer instance list in the same way. */
    bool poll_instances();

    /**
     * @brief Pulls what a peer holds in higher versions.
     * @param endpoint Peer.
     * @param version Catalogue version of the peer.
     * @param revision Revision of the peer's instance list.
     */
    void peer_holds(std::string_view endpoint, std::uint64_t version, std::uint64_t revision);

    /*! @brief Answers `catalogue_pull`. */
    [[nodiscard]] std::optional<std::string> answer_catalogue_pull(std::string_view body) const;
    /*! @brief Answers `instances_pull`. */
    [[nodiscard]] std::optional<std::string> answer_instances_pull(std::string_view body) const;

    /*! @brief Calls made to the store since the start. */
    [[nodiscard]] std::uint64_t store_calls() const noexcept;
    /*! @brief Values of the store or of peers that could not be decoded. */
    [[nodiscard]] std::uint64_t undecodable() const noexcept;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
