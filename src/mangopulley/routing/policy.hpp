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

/*! @brief Properties of a request that a policy takes into account. */
struct policy_request {
    bool idempotent{};
    /*! @brief Whether the request can be hedged if the target is slow. */
    bool hedgeable{};
    /*! @brief Whether the request has waited long enough to accept a suspect target. */
    bool waited_long{};
    /*! @brief Whether this is a retry or a hedge that must not go to a suspect target. */
    bool extra_attempt{};
};

/*! @brief Chooses a target for a request. Called with the dispatcher's lock held. */
class policy {
public:
    policy() = default;
    policy(const policy&) = delete;
    policy& operator=(const policy&) = delete;
    virtual ~policy() = default;

    /*! @brief Returns the name the policy is registered under. */
    [[nodiscard]] virtual std::string_view name() const noexcept = 0;

    /**
     * @brief Chooses a target.
     * @param targets Targets that accept new requests.
     * @param request Request that needs a target.
     * @return Position in `targets`, or nothing when the request has to wait.
     */
    [[nodiscard]] virtual std::optional<std::size_t> choose(std::span<const target_view> targets,
                                                            const policy_request& request) = 0;
};

/*! @brief Creates a policy from the seed of its random number generator. */
using policy_factory = std::function<std::unique_ptr<policy>(std::uint64_t seed)>;

/**
 * @brief Creates a registered policy: `random`, `round_robin`, `least_in_flight`, `two_choices` or `slot_aware`.
 * @param name Name as in the catalogue.
 * @param seed Seed of the policy's random number generator.
 * @return The policy, or null when no policy has that name.
 */
[[nodiscard]] std::unique_ptr<policy> make_policy(std::string_view name, std::uint64_t seed);

} // namespace mangopulley
