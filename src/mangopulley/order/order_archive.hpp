#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "../core/clock.hpp"
#include "../store/store_client.hpp"
#include "order_key.hpp"
#include "order_types.hpp"

namespace mangopulley {

/*! @brief Bounds of an `order_archive`. */
struct archive_limits {
    /*! @brief Shortest time between the starts of two writes, except at shutdown (design section 4.4). */
    milliseconds period{2000};
    /*! @brief Largest segment in bytes; the store holds values up to 1 MB. */
    std::size_t segment_bytes{900'000U};
    /*! @brief Bytes kept while the store is out; beyond them the oldest outcomes are dropped. */
    std::size_t pending_bytes{std::size_t{16U} << 20U};
    /*! @brief Most segments read for one lookup; those of one issue time are few, as each covers about one period. */
    std::size_t reads_per_lookup{32U};
};

/**
 * @brief Writes finished outcomes to `orders/<home>/<segment>` and reads them back; safe to use from several threads.
 *
 * The segment's name is `<bucket>-<first>-<last>-<writer>-<number>`: `first` and `last` are the smallest and largest
 * issue time in it, `bucket` is the issue time divided by 600 s. A lookup lists one bucket and reads only the segments
 * whose range covers the key. A segment keeps its name and bytes until it is known to be written, so a write whose
 * reply was lost is repeated without harm.
 */
class order_archive {
public:
    /*! @brief Counts for metrics. */
    struct counts {
        std::size_t pending{};
        std::size_t pending_bytes{};
        std::uint64_t segments_written{};
        /*! @brief Outcomes dropped at the memory bound while the store was out. */
        std::uint64_t dropped{};
    };

    /**
     * @brief Prepares an empty archive; clock and store must outlive it.
     * @param writer This process; part of the segments' names.
     * @param time Clock for the period.
     * @param store Store to write to and read from.
     * @param bounds Bounds.
     */
    order_archive(incarnation_id writer, const clock& time, store_client& store, archive_limits bounds);
    order_archive(const order_archive&) = delete;
    order_archive& operator=(const order_archive&) = delete;
    ~order_archive();

    /*! @brief Queues an outcome; makes no call to the store. */
    void add(const order_key& key, std::shared_ptr<const order_outcome> outcome);

    /*! @brief Makes at most one write when the period has passed since the last; called from a periodic task. */
    void step();

    /**
     * @brief Writes all that is queued without waiting between writes; only at shutdown.
     * @return Whether everything is written; it gives up at the first failure that a second try does not cure.
     */
    [[nodiscard]] bool flush();

    /*! @brief Takes out everything that is not known to be written. */
    [[nodiscard]] std::vector<keyed_outcome> take_pending();

    /**
     * @brief Looks an outcome up in the store.
     * @return The outcome, nothing when no segment holds it, or `store_error`.
     */
    [[nodiscard]] result<std::optional<order_outcome>> read(const order_key& key);

    [[nodiscard]] counts count() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
