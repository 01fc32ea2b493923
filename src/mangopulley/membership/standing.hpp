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

/*! @brief Age up to which a confirmation or a contact counts. */
inline constexpr milliseconds confirmation_bound{4000};
/*! @brief Age of the last confirmation from which an isolated instance takes no new requests. */
inline constexpr milliseconds serving_bound{4500};
/*! @brief Longest time between two ticks; after a longer one the process may have been frozen. */
inline constexpr milliseconds longest_tick_gap{500};
/*! @brief Period of `standing::tick`; well below the gap, so that a busy host is not taken for a frozen process. */
inline constexpr milliseconds standing_period{100};

/*! @brief Proof of being up to date with accepted catalogue changes. */
enum class standing_state : unsigned char { confirmed, store_outage, isolated };

/*! @brief What a peer said of itself in the reply to a request. */
struct peer_report {
    incarnation_id peer{};
    /*! @brief Time on the own clock just before the request was sent. */
    time_point sent{};
    std::uint64_t version{};
    /*! @brief Age of the peer's last confirmation; nothing when it has none. */
    std::optional<duration> confirmation_age{};
    /*! @brief Age of the peer's last answer of the store to itself; nothing when it has none. */
    std::optional<duration> store_age{};
};

/**
 * @brief Decides whether this instance may act on shared rights.
 *
 * Ages count from before a request was sent, so that a delayed reply never makes anything look younger than it is. All
 * functions can be called from any thread; none blocks on I/O.
 */
class standing {
public:
    /*! @brief Where the decision gets the facts that other parts hold. */
    struct facts {
        /*! @brief Catalogue version in force in this instance. */
        std::function<std::uint64_t()> own_version{};
        /*! @brief Instances known and those proved to be in contact since a time. */
        std::function<contact_counts(time_point since)> contacts{};
    };

    /*! @brief Starts without any confirmation; the clock must outlive the object. */
    standing(const clock& time, facts sources);
    standing(const standing&) = delete;
    standing& operator=(const standing&) = delete;
    ~standing();

    /*! @brief Notes that the process runs; to be called every `standing_period`. Finds gaps in its own calls. */
    void tick();

    /**
     * @brief Records an answer of the store about the catalogue.
     * @param sent Time just before the request was sent.
     * @param version Version that the answer proves to have been the latest; ignored as a confirmation when the own
     * version is lower.
     */
    void store_answered(time_point sent, std::uint64_t version);

    /*! @brief Records an answer of the store that proves no version, such as one that cannot be decoded. */
    void store_reached(time_point sent);

    /*! @brief Records the reply of a peer; to be called after any pull of a higher version from it. */
    void peer_answered(const peer_report& report);

    /*! @brief Returns the present state. */
    [[nodiscard]] standing_state state() const;

    /**
     * @brief Tells whether new requests may be taken.
     * @param serve_unconfirmed The service's own bound for an isolated instance; it also holds after a gap.
     * @return Whether the instance serves.
     */
    [[nodiscard]] bool serving(std::optional<milliseconds> serve_unconfirmed = std::nullopt) const;

    /*! @brief Returns the age of the last valid confirmation; nothing when there is none. */
    [[nodiscard]] std::optional<duration> age_of_confirmation() const;
    /*! @brief Returns the age of the last valid answer of the store to this instance; nothing when there is none. */
    [[nodiscard]] std::optional<duration> age_of_store_contact() const;
    /*! @brief Returns the age of the last valid answer of a peer or of the store; nothing when there is none. */
    [[nodiscard]] std::optional<duration> age_of_contact() const;
    /*! @brief Number of gaps found in the own ticks. */
    [[nodiscard]] std::uint64_t gaps() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
