#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "../core/clock.hpp"
#include "../core/incarnation_id.hpp"
#include "fwd.hpp"
#include "member.hpp"

namespace mangopulley {

/*! @brief Age up to which a confirmation or a contact is valid. */
inline constexpr milliseconds max_confirmation_age{4000};
/*! @brief Age of the last confirmation from which an isolated instance accepts no new requests. */
inline constexpr milliseconds stop_serving_age{4500};
/*! @brief Longest interval between two ticks; after a longer one, the process may have been frozen. */
inline constexpr milliseconds max_tick_gap{500};
/*! @brief Period of `catalogue_freshness::tick`; well below `max_tick_gap`, so that a busy host is not mistaken for a
 * frozen process. */
inline constexpr milliseconds freshness_tick_period{100};

/*! @brief Whether this instance is up to date with the accepted catalogue edits. */
enum class freshness_state : unsigned char {
    /*! @brief The store or a confirmed peer has recently confirmed the catalogue version in force. */
    confirmed,
    /*! @brief Neither this instance nor its peers reach the store, and a majority of the instances is in contact. */
    store_outage,
    /*! @brief Edits may have been missed. */
    isolated
};

/*! @brief State that a peer advertised in the reply to a request. */
struct peer_report {
    incarnation_id peer{};
    /*! @brief Time on the local clock just before the request was sent. */
    time_point sent{};
    /*! @brief Catalogue version in force at the peer. */
    std::uint64_t version{};
    /*! @brief Age of the peer's last confirmation; empty if it has none. */
    std::optional<duration> confirmation_age{};
    /*! @brief Age of the last store response to the peer; empty if it has none. */
    std::optional<duration> store_age{};
};

/**
 * @brief Tracks how recently the catalogue in force was confirmed, and decides whether this instance may serve.
 *
 * Ages count from before a request was sent, so that a delayed reply never makes information look more recent than it
 * is. All functions are thread-safe and none blocks on I/O.
 */
class catalogue_freshness {
public:
    /*! @brief Queries to other components. */
    struct callbacks {
        /*! @brief Returns the catalogue version in force in this instance. */
        std::function<std::uint64_t()> own_version{};
        /*! @brief Returns the numbers of known instances and of those proved to be in contact since a time. */
        std::function<contact_counts(time_point since)> contacts{};
    };

    /*! @brief Starts unconfirmed; the clock must outlive the object. */
    catalogue_freshness(const clock& time, callbacks sources);
    catalogue_freshness(const catalogue_freshness&) = delete;
    catalogue_freshness& operator=(const catalogue_freshness&) = delete;
    ~catalogue_freshness();

    /*! @brief Detects freezes of the process by gaps between calls; call it every `freshness_tick_period`. */
    void tick();

    /**
     * @brief Records a store response that proves a catalogue version.
     * @param sent Time just before the request was sent.
     * @param version Version proved to have been the latest when the request was sent; confirms nothing if the version
     * in force is lower.
     */
    void record_store_response(time_point sent, std::uint64_t version);

    /*! @brief Records a store response that proves no version, such as one that cannot be decoded. */
    void record_store_contact(time_point sent);

    /*! @brief Records the reply of a peer; call it after any pull of a higher version from that peer. */
    void record_peer_reply(const peer_report& report);

    /*! @brief Returns the current state. */
    [[nodiscard]] freshness_state state() const;

    /**
     * @brief Returns whether new requests may be accepted.
     * @param serve_unconfirmed Longest age of the last confirmation at which an isolated instance still serves; a
     * setting of the service that applies after a tick gap, too. The default is `stop_serving_age`, which does not.
     * @return Whether the instance serves.
     */
    [[nodiscard]] bool serving(std::optional<milliseconds> serve_unconfirmed = std::nullopt) const;

    /*! @brief Returns the age of the last valid confirmation; empty if there is none. */
    [[nodiscard]] std::optional<duration> age_of_confirmation() const;
    /*! @brief Returns the age of the last valid store response to this instance; empty if there is none. */
    [[nodiscard]] std::optional<duration> age_of_store_contact() const;
    /*! @brief Returns the age of the last valid response of a peer or of the store; empty if there is none. */
    [[nodiscard]] std::optional<duration> age_of_contact() const;
    /*! @brief Returns the number of tick gaps, which indicate freezes of the process. */
    [[nodiscard]] std::uint64_t tick_gaps() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
