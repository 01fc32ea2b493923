#include "policy.hpp"

#include <algorithm>
#include <random>

#include "../core/registry.hpp"

namespace mangopulley {

namespace {

template <typename Policy>
[[nodiscard]] bool enroll(const std::string_view name) {
    return registry<policy_factory>::instance().add(
        name, [](const std::uint64_t seed) { return std::make_unique<Policy>(seed); });
}

class random_policy final : public policy {
public:
    explicit random_policy(const std::uint64_t seed) : generator{seed} {}

    [[nodiscard]] std::string_view name() const noexcept override { return "random"; }

    [[nodiscard]] std::optional<std::size_t> choose(const std::span<const target_view> targets,
                                                    const policy_request& /*request*/) override {
        if (targets.empty()) {
            return std::nullopt;
        }
        return std::uniform_int_distribution<std::size_t>{0U, targets.size() - 1U}(this->generator);
    }

private:
    std::mt19937_64 generator;
};

class round_robin_policy final : public policy {
public:
    explicit round_robin_policy(const std::uint64_t seed) noexcept : turn{static_cast<std::size_t>(seed)} {}

    [[nodiscard]] std::string_view name() const noexcept override { return "round_robin"; }

    [[nodiscard]] std::optional<std::size_t> choose(const std::span<const target_view> targets,
                                                    const policy_request& /*request*/) override {
        return targets.empty() ? std::nullopt : std::optional{this->turn++ % targets.size()};
    }

private:
    std::size_t turn;
};

class least_in_flight_policy final : public policy {
public:
    explicit least_in_flight_policy(const std::uint64_t seed) : generator{seed} {}

    [[nodiscard]] std::string_view name() const noexcept override { return "least_in_flight"; }

    [[nodiscard]] std::optional<std::size_t> choose(const std::span<const target_view> targets,
                                                    const policy_request& /*request*/) override {
        // Ties are broken at random: always taking the first one would load it most.
        std::optional<std::size_t> best{};
        std::size_t equal{};
        for (std::size_t position = 0U; position < targets.size(); ++position) {
            if (!best || targets[position].own < targets[*best].own) {
                best = position;
                equal = 1U;
            } else if (targets[position].own == targets[*best].own && this->generator() % ++equal == 0U) {
                best = position;
            }
        }
        return best;
    }

private:
    std::mt19937_64 generator;
};

class two_choices_policy final : public policy {
public:
    explicit two_choices_policy(const std::uint64_t seed) : generator{seed} {}

    [[nodiscard]] std::string_view name() const noexcept override { return "two_choices"; }

    [[nodiscard]] std::optional<std::size_t> choose(const std::span<const target_view> targets,
                                                    const policy_request& /*request*/) override {
        if (targets.size() < 2U) {
            return targets.empty() ? std::nullopt : std::optional<std::size_t>{0U};
        }
        const auto first = static_cast<std::size_t>(this->generator() % targets.size());
        auto second = static_cast<std::size_t>(this->generator() % (targets.size() - 1U));
        second += second >= first ? 1U : 0U;
        return targets[second].reported < targets[first].reported ? second : first;
    }

private:
    std::mt19937_64 generator;
};

/*! @brief Uses a target only while it has a free slot, and keeps away from slow ones. */
class slot_aware_policy final : public policy {
public:
    explicit slot_aware_policy(const std::uint64_t /*seed*/) noexcept {}

    [[nodiscard]] std::string_view name() const noexcept override { return "slot_aware"; }

    [[nodiscard]] std::optional<std::size_t> choose(const std::span<const target_view> targets,
                                                    const policy_request& request) override {
        std::optional<std::size_t> best{};
        std::optional<std::size_t> due{};
        std::optional<std::size_t> open{};
        for (std::size_t position = 0U; position < targets.size(); ++position) {
            const auto& target = targets[position];
            if (!target.has_free_slot() || (request.second_attempt && target.suspect)) {
                continue;
            }
            if (!target.avoided) {
                keep_better(targets, best, position);
                continue;
            }
            if (target.trial_due) {
                keep_better(targets, due, position);
            }
            if (target.trial_open) {
                keep_better(targets, open, position);
            }
        }
        if (due && request.idempotent && request.hedgeable) {
            return due;
        }
        if (!best && (request.idempotent || request.waited_long)) {
            return open;
        }
        return best;
    }

private:
    // Answer times scatter; differences below this multiple of the median say nothing about the target.
    static constexpr double equal_slowdown = 1.5;
    // An idle target is preferred to a half-busy one unless it is clearly slower: one stall then meets fewer requests.
    static constexpr double load_weight = 0.25;

    [[nodiscard]] static double score(const target_view& target) noexcept {
        const auto load = static_cast<double>(target.own + target.foreign) / target.slots;
        return std::max(target.slowdown, equal_slowdown) * (1.0 + load_weight * load) +
               std::max(target.oldest_age - 1.0, 0.0);
    }

    static void keep_better(const std::span<const target_view> targets, std::optional<std::size_t>& best,
                            const std::size_t position) noexcept {
        if (!best) {
            best = position;
            return;
        }
        const auto present = score(targets[*best]);
        const auto other = score(targets[position]);
        if (other < present || (other == present && targets[position].last_used < targets[*best].last_used)) {
            best = position;
        }
    }
};

[[maybe_unused]] const bool enrolled[] = {enroll<random_policy>("random"), enroll<round_robin_policy>("round_robin"),
                                          enroll<least_in_flight_policy>("least_in_flight"),
                                          enroll<two_choices_policy>("two_choices"),
                                          enroll<slot_aware_policy>("slot_aware")};

} // namespace

std::unique_ptr<policy> make_policy(const std::string_view name, const std::uint64_t seed) {
    const auto* factory = registry<policy_factory>::instance().find(name);
    return factory == nullptr ? nullptr : (*factory)(seed);
}

} // namespace mangopulley
