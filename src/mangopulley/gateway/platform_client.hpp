#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>

#include "evacuation_set.hpp"
#include "listed_target.hpp"
#include "routing_config.hpp"

namespace mangopulley {

/*! @brief Error of a call to the platform API. */
struct platform_error {
    enum class reason : std::uint8_t {
        /*! @brief No connection, a connection reset, or a timeout. */
        unreachable,
        /*! @brief The platform responded that it does not serve this call now. */
        refused,
        /*! @brief The response is not the requested document. */
        malformed,
        /*! @brief The object does not exist. */
        missing,
        /*! @brief The document is older than the one in use. */
        outdated
    };

    reason why{reason::unreachable};
    std::string detail{};
};

/*! @brief Returns the name of a reason as used in logs. */
[[nodiscard]] std::string_view name_of(platform_error::reason why) noexcept;

/*! @brief Value or error of a call; a LEAF result cannot carry an error across callbacks. */
template <typename Type>
using platform_result = std::variant<Type, platform_error>;

/*! @brief Reads the targets, the routing configuration and the evacuated zones from the platform API. */
class platform_client {
public:
    template <typename Type>
    using completion = std::function<void(platform_result<Type>&& outcome)>;

    platform_client() = default;
    platform_client(const platform_client&) = delete;
    platform_client& operator=(const platform_client&) = delete;
    virtual ~platform_client() = default;

    /**
     * @brief Reads the current list of all targets.
     * @param timeout Time limit of the whole call.
     * @param done Called exactly once, after this call returns.
     */
    virtual void read_targets(duration timeout, completion<target_list> done) = 0;
    /*! @brief Reads the current routing configuration; same parameters as `read_targets`. */
    virtual void read_config(duration timeout, completion<routing_config> done) = 0;
    /*! @brief Reads the zones that are evacuated now; same parameters as `read_targets`. */
    virtual void read_evacuations(duration timeout, completion<evacuation_set> done) = 0;
    /*! @brief Returns the number of calls made by this client. */
    [[nodiscard]] virtual std::uint64_t calls() const noexcept = 0;
};

} // namespace mangopulley
