#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "../core/clock.hpp"
#include "fwd.hpp"

namespace mangopulley {

/*! @brief Time for which a report counts; by then the platform's list names the target as leaving or gone. */
inline constexpr milliseconds drain_lifetime{60'000};

/*! @brief Report that a target is draining. */
struct drain_report {
    std::string target{};
    /*! @brief Time since the target was last found to be draining. */
    duration age{};
};

/*! @brief Targets reported as draining, by this instance or by others. Functions can be called from any thread. */
class drain_notices {
public:
    /*! @brief Starts empty; the clock must outlive the object. */
    explicit drain_notices(const clock& time);
    drain_notices(const drain_notices&) = delete;
    drain_notices& operator=(const drain_notices&) = delete;
    ~drain_notices();

    /**
     * @brief Records a report.
     * @param target Id of the target in the platform's list.
     * @param age Time since the target was found to be draining.
     * @return Whether other instances should be told: the target was not known to be draining.
     */
    bool report(std::string_view target, duration age = duration::zero());

    /*! @brief Returns the time since the first report that still counts; nothing when there is none. */
    [[nodiscard]] std::optional<duration> draining_for(std::string_view target) const;

    /*! @brief Returns the reports that are not older than the given age. */
    [[nodiscard]] std::vector<drain_report> recent(duration age = drain_lifetime) const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
