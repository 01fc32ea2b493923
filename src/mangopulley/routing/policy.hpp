#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

#include "../core/fwd.hpp"
#include "fwd.hpp"
#include "target_table.hpp"

namespace mangopulley {

/*! @brief What a policy knows of the request that needs a target. */
struct policy_request {
    bool idempotent{};
    /*! @brief Whether a second attempt could rescue the request from a slow target. */
    bool hedgeable{};
    /*! @brief Whether the request has waited for so long that a suspect target is better than none. */
    bool waited_long{};
    /*! @brief Whether this is a second attempt, which suspect targets are no use for. */
    bool second_attempt{};
};

/*! @brief Chooses a target for a request; called with the dispatcher's lock held. */
class policy {
public:
    policy() = default;
    policy(const policy&) = delete;
    policy& operator=(const policy&) = delete;
    virtual ~policy() = default;

    /*! @brief Returns the registered name. */
    [[nodiscard]] virtual std::string_view name() const noexcept = 0;

    /**
     * @brief Chooses a target.
     * @param targets Targets that may take new work.
     * @param request Request that needs one.
     * @return Position in `targets`, or nothing when the request has to wait.
     */
    [[nodiscard]] virtual std::optional<std::size_t> choose(std::span<const target_view> targets,
                                                            const policy_request& request) = 0;
};

/*! @brief Makes a policy from the seed of its random numbers. */
using policy_factory = std::function<std::unique_ptr<policy>(std::uint64_t seed)>;

/**
 * @brief Makes a registered policy: `random`, `round_robin`, `least_in_flight`, `two_choices` or `slot_aware`.
 * @param name Name in the catalogue.
 * @param seed Seed of its random numbers.
 * @return The policy, or null when no policy has that name.
 */
[[nodiscard]] std::unique_ptr<policy> make_policy(std::string_view name, std::uint64_t seed);

} // namespace mangopulley
