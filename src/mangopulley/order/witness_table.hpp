#pragma once

#include <cstddef>
#include <memory>
#include <span>

#include "anchored_clock.hpp"
#include "order_key.hpp"
#include "order_types.hpp"

namespace mangopulley {

/*! @brief Limits of a `witness_table`. */
struct witness_limits {
    /*! @brief Notes and seals held at once; as many as the records of a home's ledger. */
    std::size_t max_entries{65'536U};
    /*! @brief Bytes of outcomes handed over by homes that shut down. */
    std::size_t max_outcome_bytes{std::size_t{8U} << 20U};
    /*! @brief Age of the issue time at which an entry is dropped; covers twice the run window of 600 s and the clock
     * differences between instances. */
    std::chrono::seconds expiry{1800};
    /*! @brief Time by which an issue time may be ahead of this instance's clock; a key further ahead would stay in the
     * table for longer than `expiry`. */
    std::chrono::seconds max_clock_skew{30};
};

/**
 * @brief Notes and seals that an instance keeps as a witness of other homes; thread-safe.
 *
 * The entry with the smallest issue time is dropped first, and the largest issue time ever dropped is the *horizon*:
 * every key issued after the horizon that was ever noted or sealed is still in the table. A key that was issued at or
 * before the horizon and has no entry may have been noted or sealed earlier, so the table refuses its note and does not
 * confirm its seal. This does not depend on the clocks of the instances.
 */
class witness_table {
public:
    /*! @brief Counters for the state dump. */
    struct counts {
        std::size_t notes{};
        std::size_t seals{};
        std::size_t outcomes{};
        std::uint64_t horizon{};
    };

    /*! @brief Creates an empty table; the clock must outlive it. */
    witness_table(const clock& time, witness_limits bounds);
    witness_table(const witness_table&) = delete;
    witness_table& operator=(const witness_table&) = delete;
    ~witness_table();

    /**
     * @brief Stores the note of a home that is about to run an order.
     * @return `noted` when it is stored; otherwise the home must not rely on this witness.
     */
    [[nodiscard]] witness_status note(const order_key& key);

    /**
     * @brief Seals a key: no note of it is acknowledged from now on.
     * @return `sealed` when no note was ever acknowledged, `noted` when one was, `unknown` otherwise; with the outcome
     * if the home handed it over.
     */
    [[nodiscard]] witness_response seal(const order_key& key);

    /**
     * @brief Stores outcomes that a home hands over when it shuts down.
     * @return Whether all of them are stored.
     */
    [[nodiscard]] bool store_outcomes(std::span<const keyed_outcome> outcomes);

    [[nodiscard]] counts count() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
