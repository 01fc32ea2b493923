#include "load_generator.hpp"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <mutex>
#include <thread>

namespace bench {

namespace {

using clock_type = std::chrono::steady_clock;

/*! @brief Numbers of one thread, merged at the end so that the threads share nothing while they send. */
struct partial_result {
    run_result counts{};
    double worth{};
    double worth_in_time{};
};

void record(partial_result& part, const kind_load& kind, const request_result outcome,
            const std::chrono::duration<double, std::micro> latency) {
    ++part.counts.sent;
    part.worth += kind.worth;
    switch (outcome) {
    case request_result::answered:
        ++part.counts.answered;
        part.counts.latencies.push_back(latency.count());
        part.worth_in_time += latency <= kind.timeout ? kind.worth : 0.0;
        break;
    case request_result::not_run:
        ++part.counts.not_run;
        break;
    case request_result::refused:
        ++part.counts.refused;
        break;
    case request_result::unknown:
        ++part.counts.unknown;
        break;
    case request_result::failed:
        ++part.counts.failed;
        break;
    }
}

[[nodiscard]] run_result merge(std::vector<partial_result>& parts) {
    run_result total{};
    double worth = 0.0;
    double in_time = 0.0;
    for (auto& part : parts) {
        total.latencies.insert(total.latencies.end(), part.counts.latencies.begin(), part.counts.latencies.end());
        total.sent += part.counts.sent;
        total.answered += part.counts.answered;
        total.not_run += part.counts.not_run;
        total.refused += part.counts.refused;
        total.unknown += part.counts.unknown;
        total.failed += part.counts.failed;
        total.late_starts += part.counts.late_starts;
        worth += part.worth;
        in_time += part.worth_in_time;
    }
    std::sort(total.latencies.begin(), total.latencies.end());
    total.worth_in_time = worth > 0.0 ? in_time / worth : 0.0;
    return total;
}

} // namespace

double run_result::quantile_ms(const double probability) const {
    if (this->latencies.empty()) {
        return 0.0;
    }
    const auto rank = std::ceil(probability * static_cast<double>(this->latencies.size()));
    const auto index = static_cast<std::size_t>(std::max(1.0, rank)) - 1U;
    return this->latencies[std::min(index, this->latencies.size() - 1U)] / 1000.0;
}

run_result run_load(const workload& load, const std::vector<arrival>& plan, const std::chrono::milliseconds warm_up,
                    const std::size_t threads, const std::function<std::unique_ptr<request_sender>()>& make_sender) {
    std::vector<partial_result> parts(threads);
    std::atomic<std::size_t> next{};
    const auto begin = clock_type::now() + std::chrono::milliseconds{200};
    const auto work = [&](partial_result& part) {
        const auto sender = make_sender();
        for (auto index = next.fetch_add(1U); index < plan.size(); index = next.fetch_add(1U)) {
            const auto& item = plan[index];
            const auto planned = begin + item.at;
            std::this_thread::sleep_until(planned);
            const bool counted = item.at >= warm_up;
            if (counted && clock_type::now() - planned > std::chrono::milliseconds{1}) {
                ++part.counts.late_starts;
            }
            const auto outcome = sender->send(item, index);
            if (counted) {
                record(part, load.services[item.service].kinds[item.kind], outcome, clock_type::now() - planned);
            }
        }
    };
    std::vector<std::thread> pool{};
    pool.reserve(threads);
    for (auto& part : parts) {
        pool.emplace_back([&work, &part] { work(part); });
    }
    for (auto& thread : pool) {
        thread.join();
    }
    return merge(parts);
}

} // namespace bench
