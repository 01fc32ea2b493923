#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "../allowance/allowance_table.hpp"
#include "../loop/event_loop.hpp"
#include "routing_config.hpp"

namespace mangopulley {

/**
 * @brief Quotas of the teams, kept by all instances together.
 *
 * Exchanges the demand of the teams with the other instances that serve callers; without a team that has a quota,
 * nothing is sent. Not thread-safe; use only on the loop's thread.
 */
class team_quotas {
public:
    /*! @brief Instances that share the quotas, as this one knows them. */
    struct fleet_view {
        /*! @brief IP addresses of the other instances that are advertised to callers. */
        std::vector<std::string> advertised_ips{};
        /*! @brief Number of advertised instances in all zones. */
        std::size_t advertised{1U};
        /*! @brief Whether this instance is one of them. */
        bool own_advertised{};
        /*! @brief Whether the settings name no other instance and none was heard. */
        bool alone{};
    };
    /*! @brief Callbacks into the rest of the process. */
    struct callbacks {
        std::function<fleet_view()> fleet{};
        std::function<void(const std::string& ip, const std::string& bytes)> send{};
    };

    /**
     * @brief Constructs the quotas; nothing is sent before `start`.
     * @param used Loop, which must outlive this object.
     * @param bounds Bound on what the instances admit, and the times by which they share it.
     * @param own_ip IP address of this instance, from which the others receive its messages.
     * @param incarnation Number of this start of the instance.
     * @param out Callbacks into the rest of the process.
     */
    team_quotas(event_loop& used, const allowance_rule& bounds, std::string_view own_ip, std::uint64_t incarnation,
                callbacks out);
    team_quotas(const team_quotas&) = delete;
    team_quotas& operator=(const team_quotas&) = delete;
    ~team_quotas();

    void start();
    /*! @brief Tells the other instances that this one uses its shares no more. */
    void leave();
    /*! @brief Takes the quotas of a configuration. */
    void configure(const std::vector<team_config>& teams);
    /*! @brief Counts a request of a team; returns whether it is within the team's quota. */
    [[nodiscard]] bool try_admit(const team_config& team);
    /*! @brief Gives back a request that was not executed. */
    void give_back(const team_config& team);
    /*! @brief Returns after how long a request beyond the quota may come back; later for each further one. */
    [[nodiscard]] duration retry_after(const team_config& team);
    /*! @brief Returns what a request of a team would meet; nothing if the team has no quota. Changes nothing. */
    [[nodiscard]] std::optional<allowance_table::limit_preview> preview(const team_config& team) const;
    /*! @brief Processes a datagram; returns false if it is no report of demand. */
    [[nodiscard]] bool receive(std::string_view ip, std::string_view bytes);
    [[nodiscard]] nlohmann::json describe() const;

private:
    void report();
    void leave(const fleet_view& view);
    /*! @brief Sends messages to the other advertised instances and to those that were heard. */
    void send(const fleet_view& view, std::span<const std::string> messages) const;

    event_loop& loop;
    allowance_table table;
    callbacks hooks;
    timer_id timer{};
    bool reporting{};
};

} // namespace mangopulley
