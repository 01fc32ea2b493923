#pragma once

#include <cstddef>
#include <memory>
#include <span>

#include "anchored_clock.hpp"
#include "order_key.hpp"
#include "order_types.hpp"

namespace mangopulley {

/*! @brief Bounds of a `witness_table`. */
struct witness_limits {
    /*! @brief Notes and seals held at once; as many as a home's ledger holds records. */
    std::size_t entries{65'536U};
    /*! @brief Bytes of outcomes taken over from homes that shut down. */
    std::size_t outcome_bytes{std::size_t{8U} << 20U};
    /*! @brief Time after `issued` at which an entry is dropped: the run window of 600 s, twice, and clock differences.
     */
    std::chrono::seconds expiry{1800};
    /*! @brief Time that `issued` may lie ahead; a key further ahead would hold its place for longer than `expiry`. */
    std::chrono::seconds ahead{30};
};

/**
 * @brief Notes and seals that an instance keeps for other homes; safe to use from several threads.
 *
 * The entry with the smallest issue time is dropped first, and the largest issue time ever dropped is the *horizon*:
 * each key issued after the horizon that was ever noted or sealed is still held. A key issued up to the horizon and not
 * held may have been noted or sealed before, so the table refuses its note and does not vouch for its seal. This holds
 * whatever the clocks of the instances show.
 */
class witness_table {
public:
    /*! @brief Counts for the state dump. */
    struct counts {
        std::size_t notes{};
        std::size_t seals{};
        std::size_t outcomes{};
        std::uint64_t horizon{};
    };

    /*! @brief Prepares an empty table; the clock must outlive it. */
    witness_table(const clock& time, witness_limits bounds);
    witness_table(const witness_table&) = delete;
    witness_table& operator=(const witness_table&) = delete;
    ~witness_table();

    /**
     * @brief Keeps a note of a home that is about to run an order.
     * @return `noted` when it is kept; otherwise the home must not rely on this witness.
     */
    [[nodiscard]] witness_reply note(const order_key& key);

    /**
     * @brief Seals a key: no note for it is acknowledged from now on.
     * @return `sealed` when no note was ever acknowledged, `noted` when one was, `not_known` otherwise; with the
     * outcome when the home handed it over.
     */
    [[nodiscard]] witness_answer seal(const order_key& key);

    /**
     * @brief Takes over outcomes of a home that shuts down.
     * @return Whether all of them are kept.
     */
    [[nodiscard]] bool keep(std::span<const keyed_outcome> outcomes);

    [[nodiscard]] counts count() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
