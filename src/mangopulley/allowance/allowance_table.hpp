#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "allowance_rule.hpp"

namespace mangopulley {

/**
 * @brief This instance's shares of limits that all instances keep together.
 *
 * Each limit is split in proportion to the demand at the instances, which they report to each other. A silent instance
 * keeps its share reserved until it can no longer use it, so that the shares of all never exceed the limit by more than
 * the lag of the reports, whoever is cut off, killed, restarted or frozen. `docs/design/quotas.md` has the argument.
 * Uses no network or clock of its own. Not thread-safe.
 */
class allowance_table {
public:
    /*! @brief What is left of a limit here, and what a request would meet. */
    struct limit_preview {
        double rate{};
        double burst{};
        double share{};
        double tokens{};
        bool admitted{};
        /*! @brief When the request may come back if it is not admitted. */
        duration retry_after{};
    };

    /**
     * @brief Creates a table without limits.
     * @param bounds Bound and times.
     * @param own_name Name by which the other instances know the sender of this one's messages.
     * @param incarnation Number that differs for each start of an instance.
     */
    allowance_table(const allowance_rule& bounds, std::string_view own_name, std::uint64_t incarnation);
    allowance_table(const allowance_table&) = delete;
    allowance_table& operator=(const allowance_table&) = delete;
    ~allowance_table();

    /*! @brief Replaces the limits; the tokens of one that goes down are cut to the new burst. */
    void configure(std::span<const allowance_limit> limits, time_point now);
    /**
     * @brief Sets which instances share the limits.
     * @param instances Number of instances that serve callers, this one included.
     * @param alone Whether there are no other instances at all, so that none can report.
     */
    void set_fleet(std::size_t instances, bool alone, time_point now) noexcept;

    /*! @brief Takes a token for one request; counts the request as demand either way. Without a limit there is always
     * one. */
    [[nodiscard]] bool try_take(std::string_view key, time_point now);
    /*! @brief Gives back the token of a request that was not executed. */
    void give_back(std::string_view key, time_point now);
    /*! @brief Returns when a request that was refused just now may come back; later for each further one. */
    [[nodiscard]] duration time_to_token(std::string_view key, time_point now);

    /*! @brief Returns messages with the demand at this instance, each short enough for a datagram. Most calls return
     * only the limits that are nearly used up. */
    [[nodiscard]] std::vector<std::string> reports(time_point now);
    /*! @brief Returns the message of an instance that ends or serves no callers any more. */
    [[nodiscard]] std::string leaving_report() const;
    /*! @brief Takes a message of another instance; returns false if it is no report. */
    bool receive(std::string_view sender, std::string_view bytes, time_point now);
    /*! @brief Returns the names of the instances that reported recently. */
    [[nodiscard]] std::vector<std::string> senders(time_point now) const;
    /*! @brief Returns whether any key has a limit. */
    [[nodiscard]] bool limited() const noexcept;
    /*! @brief Returns whether there is demand for a key with a limit. */
    [[nodiscard]] bool in_demand(time_point now) const;

    /*! @brief Returns what a request would meet, at the share of the last update; nothing without a limit. Changes
     * nothing. */
    [[nodiscard]] std::optional<limit_preview> preview(std::string_view key, time_point now) const;

    /*! @brief Describes limits, shares and peers for the state dump. */
    [[nodiscard]] nlohmann::json describe(time_point now) const;

private:
    struct implementation;
    std::unique_ptr<implementation> self;
};

} // namespace mangopulley
