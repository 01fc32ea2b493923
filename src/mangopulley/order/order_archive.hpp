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

/*! @brief Limits of an `order_archive`. */
struct archive_limits {
    /*! @brief Minimum time between the starts of two writes, except at shutdown (design section 4.4). */
    milliseconds write_interval{2000};
    /*! @brief Maximum size of a segment in bytes; the store limits values to 1 MB. */
    std::size_t max_segment_bytes{900'000U};
    /*! @brief Bytes of outcomes queued during a store outage; beyond them the oldest outcomes are dropped. */
    std::size_t max_pending_bytes{std::size_t{16U} << 20U};
    /*! @brief Segments read per lookup; few cover the same issue time, as each spans about one write interval. */
    std::size_t max_reads_per_lookup{32U};
};

/**
 * @brief Writes finished outcomes to `orders/<home>/<segment>` in the store and reads them back; thread-safe.
 *
 * The segment's name is `<bucket>-<first>-<last>-<writer>-<number>`: `first` and `last` are the smallest and largest
 * issue time in it, `bucket` is the issue time divided by 600 s. A lookup lists one bucket and reads only the segments
 * whose range covers the key. A segment keeps its name and content until it is known to be written, which makes the
 * retry of a write whose reply was lost idempotent.
 */
class order_archive {
public:
    /*! @brief Counters for metrics. */
    struct counts {
        std::size_t pending{};
        std::size_t pending_bytes{};
        std::uint64_t segments_written{};
        /*! @brief Outcomes dropped at the memory limit during store outages. */
        std::uint64_t dropped{};
    };

    /**
     * @brief Creates an empty archive; clock and store must outlive it.
     * @param writer Incarnation of this process; part of the segment names.
     * @param time Clock for the write interval.
     * @param store Store to write to and read from.
     * @param bounds Limits.
     */
    order_archive(incarnation_id writer, const clock& time, store_client& store, archive_limits bounds);
    order_archive(const order_archive&) = delete;
    order_archive& operator=(const order_archive&) = delete;
    ~order_archive();

    /*! @brief Queues an outcome; makes no call to the store. */
    void add(const order_key& key, std::shared_ptr<const order_outcome> outcome);

    /*! @brief Writes at most one segment, if the write interval has passed since the last write; called from a periodic
     * task. */
    void write_if_due();

    /**
     * @brief Writes all queued outcomes without waiting between writes; only for shutdown.
     * @return Whether everything is written; it stops when a write fails twice in a row.
     */
    [[nodiscard]] bool flush();

    /*! @brief Removes and returns all outcomes that are not known to be written. */
    [[nodiscard]] std::vector<keyed_outcome> take_pending();

    /**
     * @brief Looks up an outcome in the store.
     * @return The outcome, nothing when no segment contains it, or `store_error`.
     */
    [[nodiscard]] result<std::optional<order_outcome>> read(const order_key& key);

    [[nodiscard]] counts count() const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
