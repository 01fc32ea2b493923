#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bench {

/*! @brief Kind of request in a workload. */
struct kind_load {
    std::string name{};
    bool idempotent{};
    double worth{1.0};
    std::chrono::milliseconds timeout{1000};
    /*! @brief Part of the service's requests that are of this kind. */
    double part{1.0};
};

/*! @brief Service in a workload. */
struct service_load {
    std::string name{};
    std::string owner{};
    std::string work_class{};
    std::size_t targets{};
    std::vector<kind_load> kinds{};
};

/*! @brief Services of one of the users with their stand-ins' times. */
struct workload {
    std::string name{};
    std::vector<service_load> services{};
    /*! @brief Mean time of a request at a target; exponentially distributed. */
    std::chrono::microseconds service_time{10'000};
    std::chrono::milliseconds probe_time{};
    /*! @brief Slots per target that the catalogue states; one more than the targets have lets one request queue there.
     */
    std::size_t catalogue_slots{2U};
};

/*! @brief Slots of a target, as the users state them. */
inline constexpr std::size_t slots_per_target = 2U;

/*! @brief Returns the workload `sialkot` or `daugava`; throws std::invalid_argument for another name. */
[[nodiscard]] workload find_workload(std::string_view name);

/*! @brief Returns the requests per second that keep all slots of a service busy. */
[[nodiscard]] double capacity(const workload& load, const service_load& service);

/*! @brief Writes the catalogue of a workload with the given policy for every service. */
[[nodiscard]] std::string catalogue_text(const workload& load, std::string_view policy);

/*! @brief One planned request. */
struct arrival {
    std::chrono::microseconds at{};
    std::size_t service{};
    std::size_t kind{};
};

/**
 * @brief Draws arrivals of all services: independent Poisson processes.
 * @param load Workload.
 * @param utilisation Part of the slots that the requests keep busy on average; may exceed 1.
 * @param length Length of the run.
 * @param seed Seed.
 * @return Arrivals in the order of time.
 */
[[nodiscard]] std::vector<arrival> plan_arrivals(const workload& load, double utilisation,
                                                 std::chrono::milliseconds length, std::uint64_t seed);

/*! @brief Slow spell of one target. */
struct slow_spell {
    std::chrono::milliseconds at{};
    std::size_t service{};
    std::size_t target{};
    double factor{};
    std::chrono::milliseconds length{};
};

/**
 * @brief Draws noisy neighbours: now and then 1 to 3 targets turn 10 to 100 times slower for 50 ms to 2 s.
 * @param load Workload.
 * @param length Length of the run.
 * @param mean_gap Mean time between two events.
 * @param seed Seed.
 * @return Spells in the order of time.
 */
[[nodiscard]] std::vector<slow_spell> plan_noise(const workload& load, std::chrono::milliseconds length,
                                                 std::chrono::milliseconds mean_gap, std::uint64_t seed);

} // namespace bench
