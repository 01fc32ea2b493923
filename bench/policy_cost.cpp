#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include <mangopulley/core/registry.hpp>
#include <mangopulley/routing/dispatcher.hpp>

namespace {

constexpr std::size_t target_count = 14U;
constexpr std::size_t thread_count = 8U;
constexpr std::size_t pairs_per_thread = 50'000U;
constexpr std::size_t warm_up_pairs = 1'000U;

using nanoseconds = std::chrono::nanoseconds;

/*! @brief Gets and gives back slots, and returns how long each pair took. */
[[nodiscard]] std::vector<nanoseconds> run_pairs(mangopulley::dispatcher& tested, const mangopulley::clock& time,
                                                 const std::size_t pairs) {
    std::vector<nanoseconds> took{};
    took.reserve(pairs);
    for (std::size_t number = 0U; number < pairs; ++number) {
        const auto start = time.now();
        auto right = tested.acquire({.kind = "read", .idempotent = true, .deadline = start + std::chrono::seconds{1}});
        if (right) {
            right->finish({mangopulley::attempt_outcome::answered, mangopulley::load_report{1U, 0U}});
        }
        took.push_back(time.now() - start);
    }
    return took;
}

void measure(const std::string& name, const mangopulley::clock& time) {
    mangopulley::dispatcher tested{{.name = "bench"}, mangopulley::make_policy(name, 1U), time};
    std::vector<mangopulley::target_record> records(target_count);
    for (std::size_t number = 0U; number < target_count; ++number) {
        records[number].id = records[number].endpoint = std::to_string(number);
    }
    tested.update(records);
    static_cast<void>(run_pairs(tested, time, warm_up_pairs));

    std::vector<std::vector<nanoseconds>> took(thread_count);
    const auto start = time.now();
    {
        std::vector<std::jthread> threads{};
        threads.reserve(thread_count);
        for (auto& own : took) {
            threads.emplace_back([&] { own = run_pairs(tested, time, pairs_per_thread); });
        }
    }
    const auto wall = time.now() - start;
    std::vector<nanoseconds> all{};
    all.reserve(thread_count * pairs_per_thread);
    for (const auto& own : took) {
        all.insert(all.end(), own.begin(), own.end());
    }
    std::ranges::sort(all);
    const auto quantile = [&](const std::size_t permille) {
        return static_cast<long long>(all[all.size() * permille / 1000U].count());
    };
    std::printf("%-16s %10.0f %10lld %10lld %10lld\n", name.c_str(),
                static_cast<double>(all.size()) / std::chrono::duration<double>{wall}.count(), quantile(500U),
                quantile(990U), quantile(999U));
}

} // namespace

/*! @brief Cost of getting and giving back a slot, per policy, without any target behind it. */
int main() {
    const mangopulley::system_clock_source time{};
    std::printf("%zu targets, %zu threads, %zu pairs of acquire and finish each\n", target_count, thread_count,
                pairs_per_thread);
    std::printf("%-16s %10s %10s %10s %10s\n", "policy", "pairs/s", "p50 ns", "p99 ns", "p99.9 ns");
    for (const auto& name : mangopulley::registry<mangopulley::policy_factory>::instance().names()) {
        measure(name, time);
    }
    return 0;
}
