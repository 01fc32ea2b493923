#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "../core/fwd.hpp"

namespace mangopulley {

/*! @brief Token bucket of one instance for the requests to one target; holds one token at most and starts with it. */
class warm_up_bucket {
public:
    /*! @brief Returns whether a request may be sent at a rate in requests per second. */
    [[nodiscard]] bool available(double rate, time_point now) const noexcept;
    /*! @brief Takes the token of a request. */
    void take(double rate, time_point now) noexcept;

private:
    [[nodiscard]] double tokens_at(double rate, time_point now) const noexcept;

    double tokens{1.0};
    time_point taken{};
};

/**
 * @brief Decides which instances send requests to a cold target, and at which share of the rate that it tolerates.
 *
 * Two of the advertised instances send, one of them in the target's zone if there is one there, each at half of the
 * rate. Every instance computes them from the advertised instances without messages of its own. Instances that lost
 * contact may compute others, so their share falls with the number of instances that fell silent, each of which may
 * belong to a separate group. Uses no network or clock of its own. Not thread-safe.
 */
class warm_up_senders {
public:
    /*! @brief Instance that is advertised to callers. */
    struct instance {
        std::string name{};
        std::string zone{};
    };

    /*! @brief Constructs the choice for the instance of a name. */
    explicit warm_up_senders(std::string name) : own{std::move(name)} {}

    /**
     * @brief Replaces the advertised instances.
     * @param instances All advertised instances, including this one if it is.
     * @param in_contact Names of the instances that this one hears from, advertised or not.
     * @param now Current time.
     */
    void update(std::vector<instance> instances, std::span<const std::string> in_contact, time_point now);

    /*! @brief Returns this instance's share of the requests to a cold target; 0 if it may send none. */
    [[nodiscard]] double share_while_cold(std::string_view target, std::string_view zone) const;
    /*! @brief Returns this instance's share of the requests to a target that was cold until recently. */
    [[nodiscard]] double share_afterwards() const noexcept;
    /*! @brief Returns the number of instances that fell silent and may still send. */
    [[nodiscard]] std::size_t silent() const noexcept { return this->silent_count; }

private:
    [[nodiscard]] const instance* highest(std::string_view target, std::string_view zone,
                                          const instance* excluded) const;

    std::string own;
    std::vector<instance> advertised{};
    /*! @brief When each instance was last advertised, or heard from after it was. */
    std::map<std::string, time_point, std::less<>> last_heard{};
    std::size_t silent_count{};
};

} // namespace mangopulley
