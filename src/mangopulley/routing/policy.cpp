#include "policy.hpp"

#include <algorithm>
#include <random>

#include "../core/registry.hpp"

namespace mangopulley {

namespace {

template <typename Policy>
[[nodiscard]] bool register_policy(const std::string_view name) {
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
    explicit round_robin_policy(const std::uint64_t seed) noexcept : next{static_cast<std::size_t>(seed)} {}

    [[nodiscard]] std::string_view name() const noexcept override { return "round_robin"; }

    [[nodiscard]] std::optional<std::size_t> choose(const std::span<const target_view> targets,
                                                    const policy_request& /*request*/) override {
        return targets.empty() ? std::nullopt : std::optional{this->next++ % targets.size()};
    }

private:
    std::size_t next;
};

class least_in_flight_policy final : public policy {
public:
    explicit least_in_flight_policy(const std::uint64_t seed) : generator{seed} {}

    [[nodiscard]] std::string_view name() const noexcept override { return "least_in_flight"; }

    [[nodiscard]] std::optional<std::size_t> choose(const std::span<const target_view> targets,
                                                    const policy_request& /*request*/) override {
        // Ties are broken at random: always choosing the first target would load it most.
        std::optional<std::size_t> best{};
        std::size_t ties{};
        for (std::size_t position = 0U; position < targets.size(); ++position) {
            if (!best || targets[position].own_in_flight < targets[*best].own_in_flight) {
                best = position;
                ties = 1U;
            } else if (targets[position].own_in_flight == targets[*best].own_in_flight &&
                       this->generator() % ++ties == 0U) {
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

/*! @brief Uses a target only while it has a free slot, and avoids slow targets. */
class slot_aware_policy final : public policy {
public:
    explicit slot_aware_policy(const std::uint64_t /*seed*/) noexcept {}

    [[nodiscard]] std::string_view name() const noexcept override { return "slot_aware"; }

    [[nodiscard]] std::optional<std::size_t> choose(const std::span<const target_view> targets,
                                                    const policy_request& request) override {
        std::optional<std::size_t> best{};
        std::optional<std::size_t> due_trial{};
        std::optional<std::size_t> open_trial{};
        for (std::size_t position = 0U; position < targets.size(); ++position) {
            const auto& target = targets[position];
            if (!target.has_free_slot() || (request.extra_attempt && target.suspect)) {
                continue;
            }
            if (!target.avoided) {
                update_best(targets, best, position);
                continue;
            }
            if (target.trial_due) {
                update_best(targets, due_trial, position);
            }
            if (target.trial_open) {
                update_best(targets, open_trial, position);
            }
        }
        if (due_trial && request.idempotent && request.hedgeable) {
            return due_trial;
        }
        if (!best && (request.idempotent || request.waited_long)) {
            return open_trial;
        }
        return best;
    }

private:
    // Response times vary; slowdowns below this multiple of the median are treated as equal.
    static constexpr double negligible_slowdown = 1.5;
    // An idle target is preferred to a half-busy one unless it is clearly slower, so that a stall affects fewer
    // requests.
    static constexpr double load_weight = 0.25;

    [[nodiscard]] static double score(const target_view& target) noexcept {
        const auto load = static_cast<double>(target.own_in_flight + target.remote_in_flight) / target.slots;
        return std::max(target.slowdown, negligible_slowdown) * (1.0 + load_weight * load) +
               std::max(target.oldest_age - 1.0, 0.0);
    }

    static void update_best(const std::span<const target_view> targets, std::optional<std::size_t>& best,
                            const std::size_t position) noexcept {
        if (!best) {
            best = position;
            return;
        }
        const auto best_score = score(targets[*best]);
        const auto other_score = score(targets[position]);
        if (other_score < best_score ||
            (other_score == best_score && targets[position].last_used < targets[*best].last_used)) {
            best = position;
        }
    }
};

[[maybe_unused]] const bool policies_registered[] = {
    register_policy<random_policy>("random"), register_policy<round_robin_policy>("round_robin"),
    register_policy<least_in_flight_policy>("least_in_flight"), register_policy<two_choices_policy>("two_choices"),
    register_policy<slot_aware_policy>("slot_aware")};

} // namespace

std::unique_ptr<policy> make_policy(const std::string_view name, const std::uint64_t seed) {
    const auto* factory = registry<policy_factory>::instance().find(name);
    return factory == nullptr ? nullptr : (*factory)(seed);
}

} // namespace mangopulley
