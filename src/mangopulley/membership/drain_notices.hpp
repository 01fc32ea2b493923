#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "../core/clock.hpp"
#include "fwd.hpp"

namespace mangopulley {

/*! @brief Time until a report expires; by then the platform's list shows the target as draining or removed. */
inline constexpr milliseconds drain_report_lifetime{60'000};

/*! @brief Report that a target is draining, as exchanged between instances. */
struct drain_report {
    std::string target{};
    /*! @brief Time since the target was last observed to be draining. */
    duration age{};
};

/*! @brief Targets reported as draining by this instance or by its peers. Thread-safe. */
class drain_notices {
public:
    /*! @brief Creates an empty set of reports; the clock must outlive the object. */
    explicit drain_notices(const clock& time);
    drain_notices(const drain_notices&) = delete;
    drain_notices& operator=(const drain_notices&) = delete;
    ~drain_notices();

    /**
     * @brief Records a report.
     * @param target Id of the target in the platform's list.
     * @param age Time since the target was observed to be draining.
     * @return Whether the report is new and should be forwarded to peers: the target was not known to be draining.
     */
    bool report(std::string_view target, duration age = duration::zero());

    /*! @brief Returns the time since the target was first observed to be draining; empty if no report is valid. */
    [[nodiscard]] std::optional<duration> draining_for(std::string_view target) const;

    /*! @brief Returns the unexpired reports that are not older than the given age. */
    [[nodiscard]] std::vector<drain_report> recent(duration age = drain_report_lifetime) const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
