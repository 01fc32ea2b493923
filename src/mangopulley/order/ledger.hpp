#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>

#include "anchored_clock.hpp"
#include "order_key.hpp"
#include "order_types.hpp"

namespace mangopulley {

/*! @brief Limits of a `ledger`. */
struct ledger_limits {
    /*! @brief Records held at once; with the run window this limits one home to 109 accepted orders per second. */
    std::size_t max_records{65'536U};
    /*! @brief Bytes of stored answers at which no more keys are accepted. */
    std::size_t max_answer_bytes{std::size_t{24U} << 20U};
    /*! @brief Time after its issue time in which a key may be accepted (design section 4.4). */
    std::chrono::seconds run_window{600};
    /*! @brief Time by which an issue time may be ahead of this instance's clock; clocks of instances differ by less. */
    std::chrono::seconds max_clock_skew{30};
    /*! @brief Longest sleep of a waiting retry before it reads the clock again. */
    milliseconds wait_interval{50};
};

/**
 * @brief Records of every key that the home accepted; thread-safe.
 *
 * A record is kept until the run window has passed, so a key without a record either was never accepted or can no
 * longer be accepted. At its limits the ledger accepts no new keys and raises a floor: a key without a record that was
 * issued no later than the newest refused key is never accepted. A refusal therefore holds without a record of its own.
 */
class ledger {
public:
    /*! @brief Progress of an order. */
    enum class stage : unsigned char { accepted, noted, sent, finished };

    /*! @brief Counters for the state dump. */
    struct counts {
        std::size_t records{};
        std::size_t unfinished{};
        std::size_t answer_bytes{};
    };

    /*! @brief Creates an empty ledger; the clock must outlive it. */
    ledger(const clock& time, ledger_limits bounds);
    ledger(const ledger&) = delete;
    ledger& operator=(const ledger&) = delete;
    ~ledger();

    /**
     * @brief Accepts a key for execution, or returns its outcome.
     *
     * A retry of a key that is in progress waits for the outcome.
     *
     * @param key Key of which this process is the home.
     * @param fingerprint Fingerprint of the request content; empty for a query of the outcome.
     * @param deadline Time until which to wait for an order in progress.
     * @param refusal Reason to permanently refuse a key that has no record yet; `none` to accept it.
     * @return Nothing when the key is accepted: the caller must run the order and call `finish`. Otherwise the outcome.
     */
    [[nodiscard]] std::optional<order_outcome> admit(const order_key& key, std::string_view fingerprint,
                                                     time_point deadline, order_reason refusal);

    /*! @brief Records the progress of an accepted key. */
    void advance(const order_key& key, stage reached);

    /*! @brief Records the outcome of an accepted key and wakes the retries that wait for it. */
    void finish(const order_key& key, std::shared_ptr<const order_outcome> outcome);

    [[nodiscard]] counts count() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
