#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "workload.hpp"

namespace bench {

/*! @brief What became of one planned request. */
enum class request_result : unsigned char { answered, not_run, refused, unknown, failed };

/*! @brief Sends one request and waits for its answer; called from many threads. */
class request_sender {
public:
    request_sender() = default;
    request_sender(const request_sender&) = delete;
    request_sender& operator=(const request_sender&) = delete;
    virtual ~request_sender() = default;

    [[nodiscard]] virtual request_result send(const arrival& item, std::size_t number) = 0;
};

/*! @brief Result of a run. */
struct run_result {
    /*! @brief Latency of each answered request in microseconds from its planned time; ascending. */
    std::vector<double> latencies{};
    std::size_t sent{};
    std::size_t answered{};
    std::size_t not_run{};
    std::size_t refused{};
    std::size_t unknown{};
    std::size_t failed{};
    /*! @brief Worth of the requests answered within their timeout, as part of the worth of all. */
    double worth_in_time{};
    /*! @brief Requests that the driver itself began more than 1 ms late for want of a thread. */
    std::size_t late_starts{};

    /*! @brief Returns a quantile of the latencies in milliseconds; 0 when none was answered. */
    [[nodiscard]] double quantile_ms(double probability) const;
};

/**
 * @brief Sends planned requests at their times whatever becomes of the earlier ones (open loop).
 *
 * Latency counts from the planned time, so that a stall counts against every request that it delayed.
 *
 * @param load Workload.
 * @param plan Arrivals in the order of time.
 * @param warm_up Requests planned before this time are sent but not counted.
 * @param threads Threads that send.
 * @param make_sender Makes the sender of one thread.
 * @return What became of the requests.
 */
[[nodiscard]] run_result run_load(const workload& load, const std::vector<arrival>& plan,
                                  std::chrono::milliseconds warm_up, std::size_t threads,
                                  const std::function<std::unique_ptr<request_sender>()>& make_sender);

} // namespace bench
