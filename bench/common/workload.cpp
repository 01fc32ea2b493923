#include "workload.hpp"

#include <algorithm>
#include <cmath>
#include <random>
#include <sstream>
#include <stdexcept>

namespace bench {

namespace {

using std::chrono::milliseconds;

[[nodiscard]] workload make_sialkot() {
    workload load{};
    load.name = "sialkot";
    load.services = {
        {"proofs", "sialkot", "interactive", 14U, {{"browse", true, 1.0, milliseconds{1000}, 1.0}}},
        {"runs",
         "sialkot",
         "interactive",
         7U,
         {{"read", true, 1.0, milliseconds{1000}, 0.8}, {"confirm", false, 10.0, milliseconds{2000}, 0.2}}},
        {"payments",
         "sialkot",
         "interactive",
         6U,
         {{"status", true, 1.0, milliseconds{1000}, 0.8}, {"release", false, 10.0, milliseconds{2000}, 0.2}}},
    };
    return load;
}

[[nodiscard]] workload make_daugava() {
    workload load{};
    load.name = "daugava";
    load.probe_time = milliseconds{6};
    load.services = {
        {"stock",
         "daugava",
         "interactive",
         15U,
         {{"lookup", true, 1.0, milliseconds{200}, 0.8}, {"boarding", true, 5.0, milliseconds{200}, 0.2}}},
        {"seals",
         "daugava",
         "interactive",
         8U,
         {{"read", true, 1.0, milliseconds{200}, 0.5}, {"confirm", false, 8.0, milliseconds{400}, 0.5}}},
        {"reorders",
         "daugava",
         "normal",
         6U,
         {{"status", true, 1.0, milliseconds{200}, 0.5}, {"place", false, 4.0, milliseconds{400}, 0.5}}},
    };
    return load;
}

} // namespace

workload find_workload(const std::string_view name) {
    if (name == "sialkot") {
        return make_sialkot();
    }
    if (name == "daugava") {
        return make_daugava();
    }
    throw std::invalid_argument{"workload must be sialkot or daugava"};
}

double capacity(const workload& load, const service_load& service) {
    const double seconds = std::chrono::duration<double>(load.service_time).count();
    return static_cast<double>(service.targets * slots_per_target) / seconds;
}

std::string catalogue_text(const workload& load, const std::string_view policy) {
    std::ostringstream text{};
    text << "services:\n";
    for (const auto& service : load.services) {
        // The limits leave room for a burst of half as much again and for the queue that it builds up.
        text << "  - name: " << service.name << "\n    owner: " << service.owner
             << "\n    class: " << service.work_class
             << "\n    limits: {requests_per_second: " << static_cast<int>(2.0 * capacity(load, service))
             << ", concurrent: " << 4U * service.targets << ", waiting: " << 100U * service.targets
             << "}\n    measuring: {probes_per_target_per_second: 2, probes_per_second: " << 2U * service.targets
             << "}\n    targets: {slots: " << load.catalogue_slots << ", connections: 220}\n    policy: " << policy
             << "\n    kinds:\n";
        for (const auto& kind : service.kinds) {
            text << "      - {name: " << kind.name << ", idempotent: " << (kind.idempotent ? "true" : "false")
                 << ", worth: " << kind.worth << ", timeout_ms: " << kind.timeout.count() << "}\n";
        }
    }
    return std::move(text).str();
}

std::vector<arrival> plan_arrivals(const workload& load, const double utilisation, const milliseconds length,
                                   const std::uint64_t seed) {
    std::vector<arrival> plan{};
    std::mt19937_64 random{seed};
    for (std::size_t service = 0U; service < load.services.size(); ++service) {
        const auto& item = load.services[service];
        std::exponential_distribution<double> gap{utilisation * capacity(load, item)};
        std::vector<double> parts{};
        for (const auto& kind : item.kinds) {
            parts.push_back(kind.part);
        }
        std::discrete_distribution<std::size_t> kinds{parts.begin(), parts.end()};
        const double end = std::chrono::duration<double>(length).count();
        for (double at = gap(random); at < end; at += gap(random)) {
            plan.push_back({std::chrono::microseconds{std::llround(at * 1e6)}, service, kinds(random)});
        }
    }
    std::sort(plan.begin(), plan.end(), [](const arrival& left, const arrival& right) { return left.at < right.at; });
    return plan;
}

std::vector<slow_spell> plan_noise(const workload& load, const milliseconds length, const milliseconds mean_gap,
                                   const std::uint64_t seed) {
    std::vector<slow_spell> plan{};
    std::mt19937_64 random{seed ^ 0x9E3779B97F4A7C15U};
    std::exponential_distribution<double> gap{1.0 / static_cast<double>(mean_gap.count())};
    std::uniform_real_distribution<double> log_factor{std::log(10.0), std::log(100.0)};
    std::uniform_real_distribution<double> log_length{std::log(50.0), std::log(2000.0)};
    std::uniform_int_distribution<int> number{1, 3};
    std::uniform_int_distribution<std::size_t> services{0U, load.services.size() - 1U};
    for (double at = gap(random); at < static_cast<double>(length.count()); at += gap(random)) {
        const int count = number(random);
        const auto service = services(random);
        std::uniform_int_distribution<std::size_t> targets{0U, load.services[service].targets - 1U};
        for (int index = 0; index < count; ++index) {
            plan.push_back({milliseconds{std::llround(at)}, service, targets(random), std::exp(log_factor(random)),
                            milliseconds{std::llround(std::exp(log_length(random)))}});
        }
    }
    return plan;
}

} // namespace bench
