#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>

#include "anchored_clock.hpp"
#include "order_key.hpp"
#include "order_types.hpp"

namespace mangopulley {

/*! @brief Bounds of a `ledger`. */
struct ledger_limits {
    /*! @brief Records held at once; with the run window, the orders that one home accepts per second: 109. */
    std::size_t records{65'536U};
    /*! @brief Bytes of kept answers beyond which no new key is accepted. */
    std::size_t answer_bytes{std::size_t{24U} << 20U};
    /*! @brief Time after `issued` in which a key may be accepted (design section 4.4). */
    std::chrono::seconds run_window{600};
    /*! @brief Time that `issued` may lie ahead; clocks of instances differ by less. */
    std::chrono::seconds ahead{30};
    /*! @brief Longest sleep of a waiting repeat between two looks at the clock. */
    milliseconds wait_slice{50};
};

/**
 * @brief The home's record of every key it accepted; safe to use from several threads.
 *
 * A record is kept until the run window has passed, so that a key without a record either was never accepted or can no
 * longer be accepted. At its bounds the ledger accepts no new keys and raises a floor: keys issued up to the newest
 * refused one and without a record are never accepted, so a refusal stays true without a record of its own.
 */
class ledger {
public:
    /*! @brief Progress of an order. */
    enum class stage : unsigned char { accepted, noted, sent, finished };

    /*! @brief Counts for the state dump. */
    struct counts {
        std::size_t records{};
        std::size_t unfinished{};
        std::size_t answer_bytes{};
    };

    /*! @brief Prepares an empty ledger; the clock must outlive it. */
    ledger(const clock& time, ledger_limits bounds);
    ledger(const ledger&) = delete;
    ledger& operator=(const ledger&) = delete;
    ~ledger();

    /**
     * @brief Accepts a key, or tells what became of it.
     *
     * A repeat of a key that is in progress waits for its outcome.
     *
     * @param key Key of which this process is the home.
     * @param fingerprint Content of the request; empty when only the outcome is asked for.
     * @param deadline Latest time to wait for a request in progress.
     * @param refusal Reason for which a key without a record is given up for ever instead of accepted; `none` accepts.
     * @return Nothing when the key is accepted: the caller must run the order and call `finish`. Otherwise the outcome.
     */
    [[nodiscard]] std::optional<order_outcome> admit(const order_key& key, std::string_view fingerprint,
                                                     time_point deadline, order_reason refusal);

    /*! @brief Records the progress of an accepted key. */
    void advance(const order_key& key, stage reached);

    /*! @brief Records the outcome of an accepted key and wakes its repeats. */
    void finish(const order_key& key, std::shared_ptr<const order_outcome> outcome);

    [[nodiscard]] counts count() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
